"""One key of the register on three disks, with the real rules of ledger/: writers that send each step to all
disks, answers that stay on their way for as long as one likes, a disk that is lost and rebuilt, power that is
lost.

A writer's request reaches a disk or never does; its answer is taken or never is; a writer may give up and
begin again with a higher ballot. What is staged and lost with power is a request that never came, what is
kept though its answer was not sent is an answer that is never taken: both are among the orders tried.
"""

from dataclasses import dataclass, replace
from itertools import combinations

from honeywood.system.ledger import acceptor
from honeywood.system.ledger.round import FIRST, Round

DISKS, MAJORITY = (0, 1, 2), 2
NEVER = (0, "")
OUT, COMING, TAKEN = "out", "coming", "taken"  # a step's request; its answer on its way; its answer taken
PREPARE, ACCEPT, TOLD = "prepare", "accept", "told"


@dataclass(frozen=True, slots=True)
class Disk:
    """`row` is (promised, accepted, value); `synced` what a loss of power leaves of it."""

    sound: bool = True
    life: int = FIRST
    lives: tuple = (FIRST,) * 3
    row: tuple = (NEVER, NEVER, None)
    synced: tuple = (NEVER, NEVER, None)
    pulls: tuple = ()  # (disk, its row, its lives) that a lost one was told in the life it will have

    def known(self, own):
        """The lives that it tells of."""
        return tuple(self.life if at == own else life for at, life in enumerate(self.lives))


@dataclass(frozen=True, slots=True)
class Writer:
    step: str
    ballot: tuple
    value: object = None
    ways: tuple = (OUT,) * 3
    answers: tuple = (None,) * 3
    again: int = 0  # how often it may still begin anew


@dataclass(frozen=True, slots=True)
class State:
    disks: tuple
    writers: tuple
    wipes: int
    powers: int


def at(items, place, item):
    return items[:place] + (item,) + items[place + 1 :]


def frozen(row):
    return tuple(row[0]), tuple(row[1]), row[2]


def thawed(row):
    return [list(row[0]), list(row[1]), row[2]]


class Register:
    """The model. `changes` are the writers' (value held to value wanted); `worse(value, told)` says that a
    value found in the register does not hold what a writer has told; `clash(told)` that what was told can't
    all be true. `early` is a fault for tests: a disk that answers before it has synced."""

    def __init__(
        self, changes, worse, clash=lambda told: False, first=None, wipes=1, powers=1, again=0, early=False
    ):
        self.changes, self.worse, self.clash, self.early = changes, worse, clash, early
        row = (NEVER, NEVER, None) if first is None else ((1, "0"), (1, "0"), first)
        writers = tuple(Writer(PREPARE, (2, str(place)), again=again) for place in range(len(changes)))
        self.start = State((Disk(row=row, synced=row),) * 3, writers, wipes, powers)

    def steps(self, state):
        for place, writer in enumerate(state.writers):
            if writer.step == TOLD:
                continue
            for one in DISKS:
                if writer.ways[one] == OUT and state.disks[one].sound:
                    yield f"{writer.step} of {place} at {one}", self._reaches(state, place, one)
                elif writer.ways[one] == COMING:
                    yield f"answer of {one} to {place}", self._taken(state, place, one)
            if writer.again:
                yield f"{place} begins again", self._again(state, place)
        yield from self._losses(state)
        for one in DISKS:
            if not state.disks[one].sound:
                yield from self._rebuilds(state, one)

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
        turn = Round(list(writer.ballot), MAJORITY, self.changes[place])
        take = turn.promised if writer.step == PREPARE else turn.accepted
        before = [disk for disk in DISKS if writer.ways[disk] == TAKEN]
        enough = [take(disk, self._answer(writer, disk)) for disk in (*before, one)][-1]
        writer = replace(writer, ways=at(writer.ways, one, TAKEN))
        if enough and writer.step == PREPARE:
            writer = replace(writer, step=ACCEPT, value=turn.value, ways=(OUT,) * 3, answers=(None,) * 3)
        elif enough:
            writer = Writer(TOLD, writer.ballot, writer.value, (TAKEN,) * 3)
        return replace(state, writers=at(state.writers, place, writer))

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
        begun = Writer(PREPARE, (count, writer.ballot[1]), again=writer.again - 1)
        return replace(state, writers=at(state.writers, place, begun))

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
        for one in DISKS if state.wipes else ():
            lost = Disk(sound=False, life=0, lives=(0,) * 3)
            yield (
                f"disk {one} is lost",
                replace(state, disks=at(state.disks, one, lost), wipes=state.wipes - 1),
            )

    def _rebuilds(self, state, one):
        disk, others = state.disks[one], [other for other in DISKS if other != one]
        if not all(state.disks[other].sound for other in others):
            return
        if not disk.life:  # first it asks which life it is to have
            told = [dict(enumerate(state.disks[other].known(other))) for other in others]
            begun = replace(disk, life=acceptor.next_life(one, told))
            yield f"{one} asks for its life", replace(state, disks=at(state.disks, one, begun))
            return
        for other in others:
            if other not in [pull[0] for pull in disk.pulls]:
                asked = state.disks[other]
                asked = replace(asked, lives=at(asked.lives, one, max(asked.lives[one], disk.life)))
                pull = other, asked.row, asked.known(other)
                begun = replace(disk, pulls=tuple(sorted((*disk.pulls, pull))))
                yield (
                    f"{other} tells {one} all",
                    replace(state, disks=at(at(state.disks, one, begun), other, asked)),
                )
        if len(disk.pulls) >= MAJORITY:
            row = frozen(acceptor.rebuilt([{"key": thawed(row)} for _, row, _ in disk.pulls])["key"])
            lives = acceptor.known_lives([dict(enumerate(lives)) for *_, lives in disk.pulls])
            whole = Disk(True, disk.life, tuple(lives[place] for place in DISKS), row, row)
            yield f"{one} is rebuilt", replace(state, disks=at(state.disks, one, whole))

    # what must hold
    def wrong(self, state):
        told = [writer.value for writer in state.writers if writer.step == TOLD]
        if not told:
            return ""
        if self.clash(told):
            return "two outcomes are told"
        sound = [disk for disk in state.disks if disk.sound]
        for quorum in combinations(sound, MAJORITY):
            value = max(quorum, key=lambda disk: disk.row[1]).row[2]
            if any(self.worse(value, one) for one in told):
                return "a majority of sound disks no longer holds what was told"
        return ""


def versions(count=2, **more):
    """Writers of versions 1, 2 ...: the highest holds."""
    changes = [lambda held, own=own: max(held or 0, own) for own in range(1, count + 1)]
    return Register(changes, lambda value, told: value is None or value < told, **more)


def outcomes(**more):
    """Two bourses that bring one rollout to different ends."""
    from honeywood.system.scales import record

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
