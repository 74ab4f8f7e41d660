"""Reads: what a majority of the members' disks agrees on, without a ballot where nothing is in doubt."""

from honeywood.gateway.register import acceptor
from honeywood.gateway.register import membership as members
from honeywood.gateway.register.outcome import Done
from honeywood.gateway.register.proposer import agreed, current
from honeywood.gateway.register.requests import Read, Survey
from honeywood.gateway.register.rounds import NO_MAJORITY, VALUE_LATE
from honeywood.gateway.register.row import EMPTY

NOT_HELD = acceptor.shown(EMPTY)


class Reads:
    """The reader of this controller; `rounds` settles what is in doubt."""

    def __init__(self, epochs, storage, peers, rounds):
        self.epochs, self.storage, self.peers, self.rounds = epochs, storage, peers, rounds

    async def read(self, key):
        """Done with the value of one key that a majority agreed on at some moment since the call (or None);
        one in doubt is settled by a round."""
        here, mine = self.epochs.here, self.storage.rows.get(key, EMPTY)
        replies = await self._replies(here, Read(key, mine.accepted, here["epoch"]))
        if not replies:
            return NO_MAJORITY
        rows = {ip: reply.row for ip, reply in replies.items()}
        row = agreed(list(rows.values()), members.majority(here))
        if row is None:
            return await self.rounds.change(key, lambda held: held)
        if row.accepted == mine.accepted:
            return Done(mine.value)
        found, value = await self._value(rows, row)
        return Done(value) if found else VALUE_LATE

    async def survey(self):
        """Done with the values that a majority agrees on, by key; those in doubt are settled by a round. A
        large one that could not be brought here in time is left out until it could."""
        here, known = self.epochs.here, self.storage.accepted()

        def enough(counted):
            """Whether no key needs a round: who is behind takes the others' word, over slow links too."""
            keys = {key for reply in counted.values() for key in reply.rows}
            told = [list(_rows(counted, key).values()) for key in keys]
            return all(agreed(rows, members.majority(here)) for rows in told)

        replies = await self._replies(here, Survey(known, here["epoch"]), enough)
        if not replies:
            return NO_MAJORITY
        found = {}
        for key in {key for reply in replies.values() for key in reply.rows}:
            settled = await self._settled(key, _rows(replies, key), known.get(key), here)
            if settled.ok:
                found[key] = settled.value
            elif settled != VALUE_LATE:
                return settled
        following = found.pop(members.SUCCESSOR, None)
        if following:
            await self.epochs.follow(following)
        return Done(found)

    async def _settled(self, key, rows, known, here):
        """Done with the value that the rows of a majority agree on, or that a round finds."""
        row, mine = agreed(list(rows.values()), members.majority(here)), self.storage.rows.get(key, EMPTY)
        if row is not None and row.accepted != known:
            found, value = await self._value(rows, row)
            return Done(value) if found else VALUE_LATE
        if row is not None and mine.accepted == known:
            return Done(mine.value)
        return await self.rounds.change(key, lambda held: held)

    async def _value(self, rows, row):
        holders = [ip for ip, one in rows.items() if one.accepted == row.accepted]
        return await self.rounds.resolve(row.value, holders)

    async def _replies(self, here, request, enough=lambda counted: True):
        """The replies of a majority of an epoch's members by address, or none; all of them while it is not
        `enough`."""
        replies = {}

        def counted():
            kept = current(replies)
            return {ip: reply for ip, reply in replies.items() if any(reply is one for one in kept)}

        def take(ip, reply):
            replies[ip] = reply
            return len(counted()) >= members.majority(here) and enough(counted())

        await self.peers.ask_all(here["members"], request, take)
        return counted() if len(counted()) >= members.majority(here) else {}


def _rows(replies, key):
    return {ip: reply.rows.get(key, NOT_HELD) for ip, reply in replies.items()}
