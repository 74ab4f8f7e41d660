"""One key of the register on three disks or more, with the real rules of gateway/register: writers that send
each step to all members, answers that stay on their way for as long as one likes, a disk that is lost and
rebuilt, power that is lost, a member that is replaced.

A writer's request reaches a disk or never does; its answer is taken or never is; a writer may give up and
begin again with a higher ballot. What is staged and lost with power is a request that never came, what is
kept though its answer was not sent is an answer that is never taken: both are among the orders tried. So is a
large value that is still on its way to a disk: its accept has not come there yet.

A reader asks the disks one after another and takes what `agreed` finds in their rows, as the program's reads
do; one in doubt goes a writer's way. What it found counts as told from then on, and holds what had been told
when it began.

That an epoch's members agree on the next one is one step here: it is a key like any other, changed once.
"""

from dataclasses import replace
from itertools import combinations

from honeywood.gateway.register.incarnations import FIRST_INCARNATION
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.row import EMPTY_ROW, Ballot, Row
from honeywood.lab.model.ballots import BallotSteps
from honeywood.lab.model.epochs import EpochSteps
from honeywood.lab.model.state import TOLD, Disk, State

THREE = ((0, 1, 2),)
REPLACED = ((0, 1, 2), (0, 1, 3))  # disk 2 makes room for disk 3
FIVE = ((0, 1, 2, 3, 4), (0, 1, 2, 3, 5))
BEFORE = Ballot(1, "0")  # of what is held at first


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
        self.ballots, self.epochs = BallotSteps(self), EpochSteps(self)
        row = EMPTY_ROW if first is None else Row(BEFORE, BEFORE, first)
        disks = tuple(
            Disk((FIRST_INCARNATION,) * len(self.places), row=held, synced=held)
            for held in (row if on is None or place in on else EMPTY_ROW for place in self.places)
        )
        writers = tuple(self.ballots.begun(1, Ballot(2, str(place)), again) for place in range(len(changes)))
        self.start = State(disks, writers, wipes, powers, reads=reads)

    def configuration(self, epoch, sealed=False):
        """The configuration of an epoch, as the program's rules take it."""
        following = MembershipConfiguration(epoch + 1, self.chain[epoch]) if sealed else None
        return MembershipConfiguration(epoch, self.chain[epoch - 1], following)

    def steps(self, state):
        """(label, state) for each step that may come next."""
        yield from self.ballots.writes(state)
        yield from self.ballots.reads(state)
        yield from self._losses(state)
        yield from self.epochs.steps(state)

    def _losses(self, state):
        for one, disk in enumerate(state.disks) if self.early else ():
            if disk.row != disk.synced:
                yield f"sync at {one}", state.with_disk(one, replace(disk, synced=disk.row))
        if state.powers:
            disks = tuple(replace(disk, row=disk.synced, pulls=()) for disk in state.disks)
            yield "power is lost", replace(state, disks=disks, powers=state.powers - 1)
        for one in self.places if state.wipes else ():
            lost = Disk((0,) * len(self.places), sound=False, life=0, epoch=0)
            yield f"disk {one} is lost", replace(state.with_disk(one, lost), wipes=state.wipes - 1)

    def all_told(self, state):
        """All that was told to anybody: by writers, before the start, and by reads."""
        told = [writer.value for writer in state.writers if writer.step == TOLD and writer.value is not None]
        before = () if self.before is None else (self.before,)
        return (*told, *before, *state.found)

    def wrong(self, state):
        """What must hold and doesn't; empty where all does."""
        told = self.all_told(state)
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
                value = max(quorum, key=lambda disk: disk.row.accepted).row.value
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
    from honeywood.gateway.rollout.record import RolloutState
    from honeywood.gateway.rollout.transitions import advance, start_rollout

    first = start_rollout(None, "s", "v2", 14.0, 0.0)

    def change(state):
        def taken(held):
            return advance(held, first.version, first.revision, state=state)

        return taken

    return Register(
        [change(RolloutState.DONE), change(RolloutState.REVERTED)],
        lambda value, told: value != told,
        lambda told: len(set(told)) > 1,
        first=first,
        **more,
    )
