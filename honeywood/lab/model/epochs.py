"""How members follow each other and lost disks are rebuilt in the register's model, by the real rules."""

from dataclasses import replace
from itertools import combinations

from honeywood.gateway.register import acceptor, membership_rules
from honeywood.gateway.register.incarnations import (
    FIRST_INCARNATION,
    merge_incarnations,
    next_incarnation,
)
from honeywood.gateway.register.replies import TransferredRow, TransferStateReply
from honeywood.gateway.register.row import EMPTY_ROW, NO_BALLOT, Row
from honeywood.gateway.register.values import InlineValue
from honeywood.lab.model.ballots import carried, plain
from honeywood.lab.model.state import Disk, put_at

KEY = "key"  # the register's one key


class EpochSteps:
    """What disks that are lost, sealed or left behind may do next in a model."""

    def __init__(self, model):
        self.model = model

    def steps(self, state):
        """(label, state) for each."""
        if state.agreed < len(self.model.chain):
            yield from self._agreed(state)
        for one in self.model.places:
            if not state.disks[one].sound:
                yield from self._joins(state, one)
            elif state.disks[one].epoch < state.agreed and one in self.model.chain[state.agreed - 1]:
                yield from self._moves(state, one)

    def _agreed(self, state):
        epoch = state.agreed
        inside = self.model.chain[epoch - 1]
        able = [one for one in inside if state.disks[one].sound and state.disks[one].epoch == epoch]
        for some in combinations(able, len(inside) // 2 + 1):
            after = state
            for one in some:
                after = after.with_disk(one, replace(after.disks[one], follows=True))
            yield f"{some} agree on the next members", replace(after, agreed=epoch + 1)

    def _pull(self, disk, own):
        """What a disk tells of all that it holds."""
        here = self.model.configuration(disk.epoch, disk.sealed) if disk.sound else None
        rows = {KEY: TransferredRow(disk.row.promised, disk.row.accepted, carried(disk.row.value))}
        if disk.follows:
            rows[membership_rules.SUCCESSOR_KEY] = TransferredRow(
                NO_BALLOT, NO_BALLOT, InlineValue({"epoch": disk.epoch + 1, "members": []})
            )
        return TransferStateReply(rows, dict(enumerate(disk.known(own))), here)

    def _pulls(self, state, one, ask):
        """Pulls by `one`, each after what `ask` puts on the disk that is asked."""
        disk = state.disks[one]
        for other in self.model.places:
            told = state.disks[other]
            if told.sound and other not in [pull[0] for pull in disk.pulls]:
                told = ask(other, told)
                if told is not None:
                    pulls = *disk.pulls, (other, replace(told, pulls=()))
                    pulls = tuple(sorted(pulls, key=lambda pull: pull[0]))
                    after = state.with_disk(other, told)
                    yield (
                        f"{other} tells {one} all",
                        after.with_disk(one, replace(after.disks[one], pulls=pulls)),
                    )

    def _told(self, disk):
        return {other: self._pull(told, other) for other, told in disk.pulls}

    def _entered(self, state, one, here, pulls):
        disk, places = state.disks[one], self.model.places
        held = acceptor.merge_rows([{KEY: pull.rows[KEY]} for pull in pulls]).get(KEY, EMPTY_ROW)
        held = Row(held.promised, held.accepted, plain(held.value))
        known = [pull.incarnations for pull in pulls]
        lives = merge_incarnations(known + ([dict(enumerate(disk.lives))] if disk.sound else []))
        entered = Disk(
            tuple(lives.get(place, FIRST_INCARNATION) for place in places),
            life=disk.life,
            row=held,
            synced=held,
            epoch=here.epoch,
            sealed=here.successor is not None,
        )
        return state.with_disk(one, entered)

    def _moves(self, state, one):
        """A disk of the epoch before the newest goes on, once a majority there has sealed."""
        disk = state.disks[one]
        epoch, inside = disk.epoch, self.model.chain[disk.epoch - 1]

        def sealing(other, told):
            if told.epoch != epoch + 1 and (other not in inside or told.epoch != epoch):
                return None
            return replace(told, sealed=told.sealed or told.epoch == epoch)

        yield from self._pulls(state, one, sealing)
        enough = membership_rules.transition_quorum(self.model.configuration(epoch, True), self._told(disk))
        if enough:
            yield f"{one} moves on", self._entered(state, one, self.model.configuration(epoch + 1), enough)

    def _lives(self, state, one):
        """A lost disk first asks which life it is to have."""
        others = [(other, told) for other, told in enumerate(state.disks) if told.sound]
        for count in range(2, len(others) + 1):
            for some in combinations(others, count):
                pulls = {other: self._pull(told, other) for other, told in some}
                quorum = membership_rules.join_quorum(one, pulls, True)
                if quorum is not None:
                    life = next_incarnation(one, [pull.incarnations for pull in quorum.replies])
                    yield (
                        f"{one} asks for its life",
                        state.with_disk(one, replace(state.disks[one], life=life)),
                    )

    def _joins(self, state, one):
        disk = state.disks[one]
        if not disk.life:
            yield from self._lives(state, one)
            return

        def noting(other, told):
            lives = put_at(told.lives, one, max(told.lives[one], disk.life))
            return replace(told, lives=lives)

        yield from self._pulls(state, one, noting)
        quorum = membership_rules.join_quorum(one, self._told(disk), True)
        if quorum is not None:
            entered = self._entered(state, one, quorum.configuration, quorum.replies)
            yield f"{one} is rebuilt", entered
