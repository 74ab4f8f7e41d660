"""The writers' steps and the reads of the register's model, by the program's acceptor and proposer."""

from dataclasses import replace

from honeywood.gateway.register import acceptor, membership_rules
from honeywood.gateway.register.agreement import find_agreed_view
from honeywood.gateway.register.incarnations import current_replies
from honeywood.gateway.register.proposal import Proposal
from honeywood.gateway.register.replies import Accepted, BallotConflict, Promise, ReadReply, RowView
from honeywood.gateway.register.row import Ballot
from honeywood.gateway.register.values import InlineValue
from honeywood.lab.model.state import (
    ACCEPT,
    COMING,
    OUT,
    PREPARE,
    TAKEN,
    TOLD,
    Reading,
    Writer,
    lives_by_place,
    put_at,
)


class BallotSteps:
    """What writers and the reader of a model may do next."""

    def __init__(self, model):
        self.model = model

    def begun(self, epoch, ballot, again):
        """A writer whose first requests are out."""
        ways = self._ways
        return Writer(PREPARE, epoch, ballot, ways=ways(OUT), answers=ways(None), again=again)

    def _ways(self, way):
        return (way,) * len(self.model.places)

    def writes(self, state):
        """(label, state) for each way to go on that a writer has."""
        for place, writer in enumerate(state.writers):
            if writer.step == TOLD:
                continue
            for one in self.model.chain[writer.epoch - 1]:
                disk = state.disks[one]
                if writer.ways[one] == OUT and disk.sound:
                    here = self.model.configuration(disk.epoch, disk.sealed)
                    if membership_rules.accepts_epoch(here, one, writer.epoch):
                        yield f"{writer.step} of {place} at {one}", self._reaches(state, place, one)
                elif writer.ways[one] == COMING:
                    yield f"answer of {one} to {place}", self._taken(state, place, one)
            if writer.again:
                yield f"{place} begins again", self._again(state, place)

    def _reaches(self, state, place, one):
        writer, disk = state.writers[place], state.disks[one]
        if writer.step == PREPARE:
            row = acceptor.prepare(disk.row, writer.ballot)
        else:
            row = acceptor.accept(disk.row, writer.ballot, writer.value)
        if isinstance(row, BallotConflict):
            reply = row
        else:
            disk = replace(disk, row=row, synced=disk.synced if self.model.early else row)
            reply = Promise(row.accepted, carried(row.value)) if writer.step == PREPARE else Accepted()
        reply = replace(reply, incarnations=disk.known(one))
        ways, answers = put_at(writer.ways, one, COMING), put_at(writer.answers, one, reply)
        return state.with_disk(one, disk).with_writer(place, replace(writer, ways=ways, answers=answers))

    def _taken(self, state, place, one):
        writer = state.writers[place]
        majority = len(self.model.chain[writer.epoch - 1]) // 2 + 1
        proposal = Proposal(writer.ballot, majority)
        take = proposal.on_prepare_reply if writer.step == PREPARE else proposal.on_accept_reply
        before = [disk for disk in self.model.places if writer.ways[disk] == TAKEN]
        enough = [take(disk, lives_by_place(writer.answers[disk])) for disk in (*before, one)][-1]
        writer = replace(writer, ways=put_at(writer.ways, one, TAKEN))
        if enough and writer.step == PREPARE:
            value = self.model.changes[place](plain(proposal.latest_promise.value))
            ways, answers = self._ways(OUT), self._ways(None)
            writer = replace(writer, step=ACCEPT, value=value, ways=ways, answers=answers)
        elif enough:
            writer = Writer(TOLD, writer.epoch, writer.ballot, writer.value)
        return state.with_writer(place, writer)

    def _again(self, state, place):
        writer = state.writers[place]
        refused = [reply.promised.counter for reply in writer.answers if isinstance(reply, BallotConflict)]
        ballot = Ballot(max([writer.ballot.counter, *refused]) + 1, writer.ballot.proposer)
        return state.with_writer(place, self.begun(state.agreed, ballot, writer.again - 1))

    def reads(self, state):
        """(label, state) for each disk that may answer the reader next."""
        for one in self.model.places if state.reads else ():
            disk = state.disks[one]
            reading = state.reading or Reading(disk.epoch, self.model.all_told(state))
            here = self.model.configuration(disk.epoch, disk.sealed) if disk.sound else None
            if here is None or one in [reply[0] for reply in reading.replies]:
                continue
            if membership_rules.accepts_epoch(here, one, reading.epoch):
                after = self._shown(state, reading, one, membership_rules.majority(here))
                if after is not None:
                    yield f"{one} tells the reader", after

    def _shown(self, state, reading, one, majority):
        """The state once the disk has answered; None where its answer leaves the read in doubt."""
        disk = state.disks[one]
        row = disk.row
        view = RowView(row.accepted, carried(row.value), acceptor.counts_as_accepted(row))
        reply = one, ReadReply(view, disk.known(one))
        replies = tuple(sorted((*reading.replies, reply), key=lambda reply: reply[0]))
        counted = current_replies({ip: lives_by_place(reply) for ip, reply in replies})
        if len(counted) < majority:
            return replace(state, reading=replace(reading, replies=replies))
        row = find_agreed_view([reply.row for reply in counted.values()], majority)
        if row is None:
            return None
        value = plain(row.value)
        stale = any(self.model.worse(value, told) for told in reading.told)
        found = state.found if value is None else (*state.found, value)
        return replace(state, reads=state.reads - 1, reading=None, found=found, stale=stale)


def carried(value):
    """A value as messages carry it."""
    return None if value is None else InlineValue(value)


def plain(carried_value):
    """The value that a message carried."""
    return None if carried_value is None else carried_value.value
