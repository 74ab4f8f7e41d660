"""One key of the register on three disks or more, with the real rules of ledger/: writers that send each step
to all members, answers that stay on their way for as long as one likes, a disk that is lost and rebuilt,
power that is lost, a member that is replaced.

A writer's request reaches a disk or never does; its answer is taken or never is; a writer may give up and
begin again with a higher ballot. What is staged and lost with power is a request that never came, what is
kept though its answer was not sent is an answer that is never taken: both are among the orders tried.

A reader asks the disks one after another and takes what `agreed` finds in their rows, as the program's reads
do; one in doubt goes a writer's way. What it found counts as told from then on, and holds what had been told
when it began.

That an epoch's members agree on the next one is one step here: it is a key like any other, changed once.
"""

from dataclasses import dataclass, replace
from itertools import combinations

from honeywood.gateway.register import acceptor
from honeywood.gateway.register import membership as members
from honeywood.gateway.register.proposer import FIRST, Proposal, agreed, current

NEVER = (0, "")
NONE = (NEVER, NEVER, None)
OUT, COMING, TAKEN = "out", "coming", "taken"  # a step's request; its answer on its way; its answer taken
SHOWN = ("accepted", "value", "sure")
PREPARE, ACCEPT, TOLD = "prepare", "accept", "told"
THREE = ((0, 1, 2),)
REPLACED = ((0, 1, 2), (0, 1, 3))  # disk 2 makes room for disk 3
FIVE = ((0, 1, 2, 3, 4), (0, 1, 2, 3, 5))


@dataclass(frozen=True, slots=True)
class Disk:
    """`row` is (promised, accepted, value); `synced` what a loss of power leaves of it. `sealed`: the next
    epoch is known and no step of this one is taken; `follows`: it has accepted that there is to be a next."""

    lives: tuple
    sound: bool = True
    life: int = FIRST
    row: tuple = NONE
    synced: tuple = NONE
    epoch: int = 1
    sealed: bool = False
    follows: bool = False
    pulls: tuple = ()  # (disk, what it told) for one that moves, or was lost and has the life it will have

    def known(self, own):
        """The lives that it tells of."""
        return tuple(self.life if at == own else life for at, life in enumerate(self.lives))


@dataclass(frozen=True, slots=True)
class Writer:
    step: str
    epoch: int
    ballot: tuple
    value: object = None
    ways: tuple = ()
    answers: tuple = ()
    again: int = 0  # how often it may still begin anew


@dataclass(frozen=True, slots=True)
class Reading:
    """A read under way: what had been told when it began, and (disk, row as shown, lives) of who answered."""

    epoch: int
    told: tuple
    replies: tuple = ()


@dataclass(frozen=True, slots=True)
class State:
    disks: tuple
    writers: tuple
    wipes: int
    powers: int
    agreed: int = 1  # the newest epoch
    reads: int = 0  # still to come
    reading: object = None
    found: tuple = ()  # what reads found
    stale: bool = False  # one found less than was told before it


def at(items, place, item):
    return items[:place] + (item,) + items[place + 1 :]


def frozen(row):
    return tuple(row[0]), tuple(row[1]), row[2]


def thawed(row):
    return [list(row[0]), list(row[1]), row[2]]


class Register:
    """The model. `changes` are the writers' (value held to value wanted); `worse(value, told)` says that a
    value found in the register does not hold what a writer has told; `clash(told)` that what was told can't
    all be true. `chain` are the members by epoch, from 1 on; `first` is held at first by all disks, or was
    told and is held by those in `on`. `early` is a fault for tests: a disk that answers before it synced."""

    def __init__(
        self,
        changes,
        worse,
        clash=lambda told: False,
        first=None,
        on=None,
        wipes=1,
        powers=1,
        again=0,
        early=False,
        chain=THREE,
        reads=0,
    ):
        self.changes, self.worse, self.clash, self.early = changes, worse, clash, early
        self.chain, self.before = chain, first if on else None
        self.places = tuple(range(max(place for one in chain for place in one) + 1))
        row = NONE if first is None else ((1, "0"), (1, "0"), first)
        disks = tuple(
            Disk((FIRST,) * len(self.places), row=held, synced=held)
            for held in (row if on is None or place in on else NONE for place in self.places)
        )
        writers = tuple(self._begun(1, (2, str(place)), again) for place in range(len(changes)))
        self.start = State(disks, writers, wipes, powers, reads=reads)

    def _begun(self, epoch, ballot, again):
        return Writer(PREPARE, epoch, ballot, ways=self._ways(OUT), answers=self._ways(None), again=again)

    def configuration(self, epoch, sealed=False):
        following = {"epoch": epoch + 1, "members": list(self.chain[epoch])} if sealed else None
        return {"epoch": epoch, "members": list(self.chain[epoch - 1]), "next": following}

    def steps(self, state):
        for place, writer in enumerate(state.writers):
            if writer.step == TOLD:
                continue
            for one in self.chain[writer.epoch - 1]:
                disk = state.disks[one]
                if writer.ways[one] == OUT and disk.sound:
                    if members.takes(self.configuration(disk.epoch, disk.sealed), one, writer.epoch):
                        yield f"{writer.step} of {place} at {one}", self._reaches(state, place, one)
                elif writer.ways[one] == COMING:
                    yield f"answer of {one} to {place}", self._taken(state, place, one)
            if writer.again:
                yield f"{place} begins again", self._again(state, place)
        yield from self._reads(state)
        yield from self._losses(state)
        if state.agreed < len(self.chain):
            yield from self._agreed(state)
        for one in self.places:
            if not state.disks[one].sound:
                yield from self._joins(state, one)
            elif state.disks[one].epoch < state.agreed and one in self.chain[state.agreed - 1]:
                yield from self._moves(state, one)

    # a writer's steps
    def _reaches(self, state, place, one):
        writer, disk = state.writers[place], state.disks[one]
        ballot, row = list(writer.ballot), thawed(disk.row)
        if writer.step == PREPARE:
            changed, answer = acceptor.prepare(row, ballot)
        else:
            changed, answer = acceptor.accept(row, ballot, writer.value)
        if changed is not None:
            changed = frozen(changed)
            disk = replace(disk, row=changed, synced=disk.synced if self.early else changed)
        answer = tuple(sorted({**answer, "lives": disk.known(one)}.items()))
        told = tuple((key, tuple(part) if isinstance(part, list) else part) for key, part in answer)
        writer = replace(writer, ways=at(writer.ways, one, COMING), answers=at(writer.answers, one, told))
        return replace(state, disks=at(state.disks, one, disk), writers=at(state.writers, place, writer))

    def _taken(self, state, place, one):
        writer = state.writers[place]
        enough = len(self.chain[writer.epoch - 1]) // 2 + 1
        turn = Proposal(list(writer.ballot), enough, self.changes[place])
        take = turn.promised if writer.step == PREPARE else turn.accepted
        before = [disk for disk in self.places if writer.ways[disk] == TAKEN]
        enough = [take(disk, self._answer(writer, disk)) for disk in (*before, one)][-1]
        writer = replace(writer, ways=at(writer.ways, one, TAKEN))
        if enough and writer.step == PREPARE:
            ways, answers = self._ways(OUT), self._ways(None)
            writer = replace(writer, step=ACCEPT, value=turn.value, ways=ways, answers=answers)
        elif enough:
            writer = Writer(TOLD, writer.epoch, writer.ballot, writer.value)
        return replace(state, writers=at(state.writers, place, writer))

    def _ways(self, way):
        return (way,) * len(self.places)

    @staticmethod
    def _answer(writer, disk):
        told = dict(writer.answers[disk])
        told["lives"] = dict(enumerate(told["lives"]))
        for key in ("accepted", "promised"):
            if key in told:
                told[key] = list(told[key])
        return told

    def _again(self, state, place):
        writer = state.writers[place]
        seen = [dict(told).get("promised", NEVER)[0] for told in writer.answers if told is not None]
        count = max([writer.ballot[0], *seen]) + 1
        begun = self._begun(state.agreed, (count, writer.ballot[1]), writer.again - 1)
        return replace(state, writers=at(state.writers, place, begun))

    # a read
    def _reads(self, state):
        for one in self.places if state.reads else ():
            disk = state.disks[one]
            reading = state.reading or Reading(disk.epoch, self._all_told(state))
            here = self.configuration(disk.epoch, disk.sealed) if disk.sound else None
            if here is None or one in [reply[0] for reply in reading.replies]:
                continue
            if members.takes(here, one, reading.epoch):
                after = self._shown(state, reading, one, members.majority(here))
                if after is not None:
                    yield f"{one} tells the reader", after

    def _shown(self, state, reading, one, majority):
        """The state once the disk has answered; None where its answer leaves the read in doubt."""
        disk = state.disks[one]
        shown = acceptor.shown(thawed(disk.row))
        reply = one, (tuple(shown["accepted"]), shown["value"], shown["sure"]), disk.known(one)
        replies = tuple(sorted((*reading.replies, reply), key=lambda reply: reply[0]))
        told = {ip: {**dict(zip(SHOWN, row)), "lives": dict(enumerate(lives))} for ip, row, lives in replies}
        counted = current(told)
        if len(counted) < majority:
            return replace(state, reading=replace(reading, replies=replies))
        sure, value = agreed(counted, majority)
        if not sure:
            return None
        stale = any(self.worse(value, one) for one in reading.told)
        found = state.found if value is None else (*state.found, value)
        return replace(state, reads=state.reads - 1, reading=None, found=found, stale=stale)

    # losses
    def _losses(self, state):
        if self.early:
            for one, disk in enumerate(state.disks):
                if disk.row != disk.synced:
                    yield (
                        f"sync at {one}",
                        replace(state, disks=at(state.disks, one, replace(disk, synced=disk.row))),
                    )
        if state.powers:
            disks = tuple(replace(disk, row=disk.synced, pulls=()) for disk in state.disks)
            yield "power is lost", replace(state, disks=disks, powers=state.powers - 1)
        for one in self.places if state.wipes else ():
            lost = Disk((0,) * len(self.places), sound=False, life=0, epoch=0)
            yield (
                f"disk {one} is lost",
                replace(state, disks=at(state.disks, one, lost), wipes=state.wipes - 1),
            )

    # members
    def _agreed(self, state):
        epoch = state.agreed
        inside = self.chain[epoch - 1]
        able = [one for one in inside if state.disks[one].sound and state.disks[one].epoch == epoch]
        for some in combinations(able, len(inside) // 2 + 1):
            disks = state.disks
            for one in some:
                disks = at(disks, one, replace(disks[one], follows=True))
            yield f"{some} agree on the next members", replace(state, disks=disks, agreed=epoch + 1)

    def _pull(self, disk, own):
        """What a disk tells of all that it holds."""
        here = self.configuration(disk.epoch, disk.sealed) if disk.sound else None
        rows = {"key": thawed(disk.row)}
        if disk.follows:
            rows[members.SUCCESSOR] = [NEVER, NEVER, {"epoch": disk.epoch + 1}]
        return {"rows": rows, "lives": dict(enumerate(disk.known(own))), "members": here}

    def _pulls(self, state, one, ask):
        """Pulls by `one`, each after what `ask` puts on the disk that is asked."""
        disk = state.disks[one]
        for other in self.places:
            told = state.disks[other]
            if told.sound and other not in [pull[0] for pull in disk.pulls]:
                told = ask(other, told)
                if told is not None:
                    disks = at(state.disks, other, told)
                    pulls = *disk.pulls, (other, replace(told, pulls=()))
                    pulls = tuple(sorted(pulls, key=lambda pull: pull[0]))
                    begun = replace(disks[one], pulls=pulls)
                    yield f"{other} tells {one} all", replace(state, disks=at(disks, one, begun))

    def _told(self, disk):
        return {other: self._pull(told, other) for other, told in disk.pulls}

    def _entered(self, state, one, here, pulls):
        disk = state.disks[one]
        held = acceptor.rebuilt([{"key": pull["rows"]["key"]} for pull in pulls]).get("key", thawed(NONE))
        known = [pull["lives"] for pull in pulls]
        lives = acceptor.known_lives(known + ([dict(enumerate(disk.lives))] if disk.sound else []))
        entered = Disk(
            tuple(lives.get(place, FIRST) for place in self.places),
            life=disk.life,
            row=frozen(held),
            synced=frozen(held),
            epoch=here["epoch"],
            sealed=here["next"] is not None,
        )
        return replace(state, disks=at(state.disks, one, entered))

    def _moves(self, state, one):
        """A disk of the epoch before the newest goes on, once a majority there has sealed."""
        disk = state.disks[one]
        epoch, inside = disk.epoch, self.chain[disk.epoch - 1]

        def sealing(other, told):
            if told.epoch != epoch + 1 and (other not in inside or told.epoch != epoch):
                return None
            return replace(told, sealed=told.sealed or told.epoch == epoch)

        yield from self._pulls(state, one, sealing)
        enough = members.moves(self.configuration(epoch, True), self._told(disk))
        if enough:
            yield f"{one} moves on", self._entered(state, one, self.configuration(epoch + 1), enough)

    def _joins(self, state, one):
        disk = state.disks[one]
        if not disk.life:  # first it asks which life it is to have
            others = [(other, told) for other, told in enumerate(state.disks) if told.sound]
            for count in range(2, len(others) + 1):
                for some in combinations(others, count):
                    pulls = {other: self._pull(told, other) for other, told in some}
                    _, enough = members.joins(one, pulls, True)
                    if enough:
                        life = acceptor.next_life(one, [pull["lives"] for pull in enough])
                        begun = replace(disk, life=life)
                        yield f"{one} asks for its life", replace(state, disks=at(state.disks, one, begun))
            return

        def noting(other, told):
            lives = at(told.lives, one, max(told.lives[one], disk.life))
            return replace(told, lives=lives)

        yield from self._pulls(state, one, noting)
        here, enough = members.joins(one, self._told(disk), True)
        if here is not None:
            yield f"{one} is rebuilt", self._entered(state, one, here, enough)

    # what must hold
    def _all_told(self, state):
        told = [writer.value for writer in state.writers if writer.step == TOLD and writer.value is not None]
        before = () if self.before is None else (self.before,)
        return (*told, *before, *state.found)

    def wrong(self, state):
        told = self._all_told(state)
        if state.stale:
            return "a read found less than was told before it"
        if not told:
            return ""
        if self.clash(told):
            return "two outcomes are told"
        for epoch in range(1, state.agreed + 1):
            inside = self.chain[epoch - 1]
            able = [disk for one in inside for disk in (state.disks[one],) if disk.sound and not disk.sealed]
            able = [disk for disk in able if disk.epoch == epoch]
            for quorum in combinations(able, len(inside) // 2 + 1):
                value = max(quorum, key=lambda disk: disk.row[1]).row[2]
                if any(self.worse(value, one) for one in told):
                    return "a majority of sound disks no longer holds what was told"
        return ""


def versions(count=2, reader=False, **more):
    """Writers of versions 1, 2 ... (the highest holds), and one who reads by a round."""
    changes = [lambda held, own=own: max(held or 0, own) for own in range(1, count + 1)]
    changes += [lambda held: held] if reader else []
    return Register(changes, lambda value, told: value is None or value < told, **more)


def outcomes(**more):
    """Two controllers that bring one rollout to different ends."""
    from honeywood.gateway.rollout import record

    first = record.start(None, "s", "v2", 14.0, 0.0)

    def change(state):
        def taken(held):
            return tuple(sorted(record.advance(dict(held), "v2", first["n"], state=state).items()))

        return taken

    return Register(
        [change(record.DONE), change(record.REVERTED)],
        lambda value, told: value != told,
        lambda told: len(set(told)) > 1,
        first=tuple(sorted(first.items())),
        **more,
    )
