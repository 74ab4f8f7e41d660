"""The CASPaxos proposer: changes a key's value by ballots among the members' disks, until one wins."""

from __future__ import annotations

import asyncio

from honeywood.gateway.register import membership_rules
from honeywood.gateway.register.errors import (
    ConcurrentChange,
    NotBootstrapped,
    QuorumUnavailable,
    RegisterUnavailable,
    ValueUnavailable,
)
from honeywood.gateway.register.proposal import Proposal
from honeywood.gateway.register.replies import Accepted, BallotConflict, Promise, ValueMissing
from honeywood.gateway.register.requests import Accept, Prepare
from honeywood.gateway.register.retry_deadline import RetryDeadline
from honeywood.gateway.register.row import EMPTY_ROW, NO_BALLOT, Ballot
from honeywood.gateway.register.value_transfer import VALUE_TIMEOUT_S
from honeywood.gateway.register.values import ValueReference

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.membership_configuration import MembershipConfiguration
    from honeywood.gateway.register.membership_state import MembershipState
    from honeywood.gateway.register.peer_client import PeerClient
    from honeywood.gateway.register.persistent_state import PersistentState
    from honeywood.gateway.register.replies import Reply
    from honeywood.gateway.register.value_lookup import ValueLookup
    from honeywood.gateway.register.value_transfer import ValueTransfer

INITIAL_BACKOFF_S = 0.02
"""The minimum wait after a lost ballot; jitter adds up to 100%. It doubles each time up to MAX_BACKOFF_S."""

MAX_BACKOFF_S = 0.16


class Proposer:
    """The proposer of this controller; `highest_counter` is the highest ballot counter that it knows."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        membership: MembershipState,
        state: PersistentState,
        lookup: ValueLookup,
        peers: PeerClient,
        transfer: ValueTransfer,
    ) -> None:
        """`random` draws the jitter of the backoff."""
        self._local_ip, self._random = settings.ip, random
        self._membership, self._state, self._lookup = membership, state, lookup
        self._peers, self._transfer = peers, transfer
        self.highest_counter = 0

    async def change(self, key: str, update: Callable[[JsonValue], JsonValue]) -> JsonValue:
        """Apply the change function `update` to the current value; return the value that was accepted.

        `update` is called once per ballot; if it raises, the change ends with that exception. Raises
        RegisterUnavailable if no ballot won in time; the value of the last ballot may still be accepted.
        """
        loop, backoff_s = asyncio.get_running_loop(), INITIAL_BACKOFF_S
        deadline = RetryDeadline(loop.time())
        while self._membership.intact:
            configuration = self._membership.configuration
            proposal = Proposal(self._next_ballot(key), membership_rules.majority(configuration))
            failure: RegisterUnavailable
            try:
                current = await self._prepare(key, proposal, configuration, deadline)
                value = update(current)
                await self._accept(key, value, proposal, configuration, deadline)
                return value
            except (QuorumUnavailable, ValueUnavailable) as error:
                failure = error
            if proposal.highest_conflict != NO_BALLOT:
                self.highest_counter = max(self.highest_counter, proposal.highest_conflict.counter)
                failure = ConcurrentChange()
            if loop.time() >= deadline.at:
                raise failure
            await asyncio.sleep(backoff_s * (1 + self._random.random()))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        raise NotBootstrapped

    def _next_ballot(self, key: str) -> Ballot:
        promised = self._state.registers.get(key, EMPTY_ROW).promised
        self.highest_counter = max(self.highest_counter, promised.counter) + 1
        return Ballot(self.highest_counter, self._local_ip)

    async def _prepare(
        self, key: str, proposal: Proposal, configuration: MembershipConfiguration, deadline: RetryDeadline
    ) -> JsonValue:
        """Obtain the promises of a majority; return the key's current value."""

        def on_reply(ip: str, reply: Reply) -> bool:
            return isinstance(reply, Promise | BallotConflict) and proposal.on_prepare_reply(ip, reply)

        request = Prepare(key, proposal.ballot, configuration.epoch)
        if not await self._peers.call_all(configuration.members, request, on_reply):
            raise QuorumUnavailable
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            return await self._transfer.resolve(proposal.latest_promise.value, proposal.value_sources)
        finally:
            deadline.extend(loop.time() - started_at)

    async def _accept(
        self,
        key: str,
        value: JsonValue,
        proposal: Proposal,
        configuration: MembershipConfiguration,
        deadline: RetryDeadline,
    ) -> None:
        """Obtain the acceptance of the value by a majority under the ballot."""

        def on_reply(ip: str, reply: Reply) -> bool:
            return isinstance(reply, Accepted | BallotConflict) and proposal.on_accept_reply(ip, reply)

        request = Accept(key, proposal.ballot, configuration.epoch, self._lookup.add_proposed(value))
        if not isinstance(request.value, ValueReference):
            accepted = await self._peers.call_all(configuration.members, request, on_reply)
        else:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            call = self._call_with_value(request, request.value)
            accepted = await self._peers.call_all(
                configuration.members, request, on_reply, call=call, timeout_s=VALUE_TIMEOUT_S
            )
            deadline.extend(loop.time() - started_at)
        if not accepted:
            raise QuorumUnavailable

    def _call_with_value(
        self, request: Accept, reference: ValueReference
    ) -> Callable[[str], Awaitable[Reply]]:
        """Return a call that requests acceptance of a large value, and pushes it if the member lacks it."""
        text = self._lookup.store.text(asyncio.get_running_loop().time(), reference)
        assert text is not None, "a proposed value is in the store"

        async def call(ip: str) -> Reply:
            reply = await self._peers.call(ip, request)
            if not isinstance(reply, ValueMissing):
                return reply
            received = reply.received_characters
            if not await self._transfer.push(ip, request.key, reference, text, received):
                raise ValueUnavailable
            reply = await self._peers.call(ip, request)
            if isinstance(reply, ValueMissing):
                raise ValueUnavailable
            return reply

        return call
