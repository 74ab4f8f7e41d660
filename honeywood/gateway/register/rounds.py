"""Rounds: a change of one key's value by ballots until one wins, over all members' disks."""

import asyncio

from honeywood.gateway.register import membership as members
from honeywood.gateway.register.outcome import Done, Failed
from honeywood.gateway.register.proposer import Proposal
from honeywood.gateway.register.replies import ValueWanted
from honeywood.gateway.register.requests import Accept, Prepare
from honeywood.gateway.register.row import EMPTY, NEVER, Ballot
from honeywood.gateway.register.values import Reference

PATIENCE_S = 0.6  # seconds in which a change begins again: its caller goes elsewhere after 1 s
PAUSE_S = 0.02  # seconds, by chance up to twice, after a ballot that lost; it doubles up to
LONGEST_PAUSE_S = 0.16  # seconds
VALUE_S = 3.0  # seconds that a round waits for a large value, which is carried on after them
NONE_YET = Failed("register", "this disk takes no part yet", "", 503)
NO_MAJORITY = Failed("register", "no majority answers", "", 503)
OTHERS_FIRST = Failed("register", "other changes came first", "", 503)
VALUE_LATE = Failed("register", "the value has not been carried here yet", "", 503)


class Patience:
    """Until when a change begins again after a lost ballot: time in which a large value was carried counts
    little, since it is there for the next ballot."""

    def __init__(self, now):
        self.until, self.latest = now + PATIENCE_S, now + PATIENCE_S + VALUE_S

    def carried(self, seconds):
        """Takes note of the time that a value was on its way."""
        self.until = min(self.until + seconds, self.latest)


class Rounds:
    """The proposer of this controller."""

    def __init__(self, settings, random, epochs, storage, lookup, peers, transfer):
        self.settings, self.random, self.epochs, self.storage = settings, random, epochs, storage
        self.lookup, self.peers, self.transfer = lookup, peers, transfer
        self.count = 0  # the highest count of a ballot that this controller knows of

    async def change(self, key, change):
        """Done with the value that a majority's disks hold after `change`, or Failed."""
        loop, pause = asyncio.get_running_loop(), PAUSE_S
        patience = Patience(loop.time())
        while self.epochs.sound and self.epochs.here:
            here = self.epochs.here
            self.count = max(self.count, self.storage.rows.get(key, EMPTY).promised.count) + 1
            turn = Proposal(Ballot(self.count, self.settings.ip), members.majority(here), change)
            found = await self._ballot(key, turn, here, patience)
            if found.ok:
                return found
            if turn.refused != NEVER:
                self.count, found = max(self.count, turn.refused.count), OTHERS_FIRST
            if loop.time() >= patience.until:
                return found
            await asyncio.sleep(pause * (1 + self.random.random()))
            pause = min(2 * pause, LONGEST_PAUSE_S)
        return NONE_YET

    async def _ballot(self, key, turn, here, patience):
        """One ballot: prepare, the value to go on from, accept."""
        prepare = Prepare(key, turn.ballot, here["epoch"])
        if not await self.peers.ask_all(here["members"], prepare, turn.promised):
            return NO_MAJORITY
        loop = asyncio.get_running_loop()
        began = loop.time()
        found, held = await self.resolve(turn.latest.value, turn.holders)
        patience.carried(loop.time() - began)
        if not found:
            return VALUE_LATE
        value = turn.propose(held)
        accept = Accept(key, turn.ballot, here["epoch"], self.lookup.hold(value))
        if not isinstance(accept.value, Reference):
            done = await self.peers.ask_all(here["members"], accept, turn.accepted)
        else:
            began, offer = loop.time(), self._offer(self.lookup.store.text(loop.time(), accept.value))
            done = await self.peers.ask_all(here["members"], accept, turn.accepted, call=offer, most=VALUE_S)
            patience.carried(loop.time() - began)
        return Done(value) if done else NO_MAJORITY

    def _offer(self, text):
        """The call that has a member accept a large value, which is brought there if it wants it."""

        async def offer(ip, accept):
            reply = await self.peers.call(ip, accept)
            if not (reply.ok and isinstance(reply.value, ValueWanted)):
                return reply
            if not await self.transfer.push(ip, accept.key, accept.value, text, reply.value.held):
                return VALUE_LATE
            reply = await self.peers.call(ip, accept)
            return VALUE_LATE if reply.ok and isinstance(reply.value, ValueWanted) else reply

        return offer

    async def resolve(self, value, holders, within=VALUE_S):
        """(whether the value is here, the value), of one that `holders` told of: if need be it is fetched."""
        found, whole = self.lookup.find(value)
        if not found and await self.transfer.fetch(value, holders, within):
            found, whole = self.lookup.find(value)
        return found, whole
