"""Brings this controller's disk into the newest epoch, and proposes members (see membership_rules.py)."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from honeywood.gateway.register import membership_rules
from honeywood.gateway.register.errors import DiskUnavailable, RegisterUnavailable, ValueUnavailable
from honeywood.gateway.register.incarnations import (
    FIRST_INCARNATION,
    merge_incarnations,
    next_incarnation,
)
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.membership_rules import BOOTSTRAP_EPOCH, SUCCESSOR_KEY, JoinQuorum
from honeywood.gateway.register.replies import Fenced, ReadReply
from honeywood.gateway.register.requests import Read, TransferState
from honeywood.gateway.register.row import NO_BALLOT
from honeywood.gateway.register.state_update import StateUpdate

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.membership_state import MembershipState
    from honeywood.gateway.register.peer_client import PeerClient
    from honeywood.gateway.register.persistent_state import PersistentState
    from honeywood.gateway.register.proposer import Proposer
    from honeywood.gateway.register.replies import Reply, TransferStateReply
    from honeywood.gateway.register.state_transfer import StateTransfer

BOOTSTRAP_STAGGER_S = 0.3
"""The delay between the first proposals of one seed and the next."""

BLOCKED_LOG_INTERVAL_S = 5.0


class MembershipManager:
    """Opens this controller's disk, keeps it in the newest epoch, and proposes members."""

    def __init__(
        self,
        settings: Settings,
        log: EventLog,
        state: PersistentState,
        membership: MembershipState,
        peers: PeerClient,
        proposer: Proposer,
        transfer: StateTransfer,
    ) -> None:
        """The seeds, and how many members may fail at once, are taken from `settings`."""
        self._settings, self._log, self._state, self._membership = settings, log, state, membership
        self._peers, self._proposer, self._transfer = peers, proposer, transfer
        self._bootstrap_started_at: float | None = None

    async def open(self) -> None:
        """Open the disk.

        The disk is intact if it took part in the register before, or if the whole system starts for the first
        time. Otherwise it counts as lost.
        """
        state, membership = self._state, self._membership
        await state.open()
        if state.incarnation is not None:
            membership.restore()
        elif self._settings.fresh:
            try:
                await membership.initialize(tuple(seed.ip for seed in self._settings.seeds))
            except DiskUnavailable as error:  # the disk counts as lost until it can be written
                self._log.info("register not initialized", why=str(error))
        self._log.info(
            "register opened",
            intact=membership.intact,
            rows=len(state.registers),
            epoch=membership.epoch,
            members=membership.members,
        )

    async def synchronize(self, known: Iterable[str]) -> None:
        """Bring this disk towards the newest epoch, with the help of the controllers `known`."""
        membership = self._membership
        ips = {*known, *membership.members}
        if membership.pending is not None:
            ips.update(membership.pending.members)
        try:
            if membership.pending is not None:
                await membership.adopt(membership.pending)
            await self._advance(ips)
        except DiskUnavailable as error:
            self._log.info("register blocked by disk", min_interval_s=BLOCKED_LOG_INTERVAL_S, why=str(error))

    async def _advance(self, ips: set[str]) -> None:
        """Take the next step towards the newest epoch."""
        membership = self._membership
        if not membership.intact:
            await self._join(ips)
        elif membership.epoch == BOOTSTRAP_EPOCH and membership.pending is None:
            await self._bootstrap(ips)
        elif membership.is_synchronized:
            return  # another task entered the next epoch while `adopt` waited for the lock
        elif membership.pending is not None or not await self._enter_successor():
            await self._join(ips)

    async def _bootstrap(self, ips: set[str]) -> None:
        """Propose the first members: 2 f + 1 of the known controllers, of which f may fail at once.

        The seeds propose one after another, in their order; other controllers propose after them.
        """
        now = asyncio.get_running_loop().time()
        if self._bootstrap_started_at is None:
            self._bootstrap_started_at = now
        ip, seeds = self._settings.ip, self._membership.members
        size = 2 * self._settings.tolerated_failures + 1
        rank = seeds.index(ip) if ip in seeds else len(seeds)
        if len(ips) >= size and now - self._bootstrap_started_at >= rank * BOOTSTRAP_STAGGER_S:
            with suppress(RegisterUnavailable):
                await self._agree(sorted(ips)[:size])

    async def replace_member(self, member: str, spare: str) -> MembershipConfiguration:
        """Propose `spare` in the place of `member`; a concurrent membership change may win instead.

        Returns the configuration that was agreed on. Raises RegisterUnavailable, or DiskRefused.
        """
        agreed = await self._agree(sorted({*self._membership.members, spare} - {member}))
        self._log.info("member replaced", member=member, spare=spare, **agreed.encode_members())
        return agreed

    async def is_in_epoch(self, spare: str) -> bool:
        """Return whether the disk of a controller that isn't a member is intact and in this disk's epoch.

        One that is behind is told of the epoch. Raises GatewayError.
        """
        epoch = self._membership.epoch
        reply = await self._peers.call(spare, Read(SUCCESSOR_KEY, NO_BALLOT, epoch))
        if not isinstance(reply, Fenced):
            return False
        if reply.configuration.epoch < epoch:
            self._peers.announce_configuration([spare])
        return reply.configuration.epoch == epoch

    async def is_handed_over(self) -> bool:
        """Return whether the newest members don't need this disk, which isn't among them, any more."""
        newest = self._membership.newest_known
        entered: set[str] = set()

        def on_reply(ip: str, reply: Reply) -> bool:
            if isinstance(reply, ReadReply):
                entered.add(ip)
            return membership_rules.is_handed_over(newest, entered)

        request = Read(SUCCESSOR_KEY, NO_BALLOT, newest.epoch)
        return await self._peers.call_all(newest.members, request, on_reply)

    async def _agree(self, members: Sequence[str]) -> MembershipConfiguration:
        """Return the next configuration, once a majority of this epoch has agreed on it.

        It has the proposed `members`, unless another configuration was agreed on before.
        """
        proposed = MembershipConfiguration(self._membership.epoch + 1, tuple(members))

        def keep_agreed(current: JsonValue) -> JsonValue:
            is_agreed = current and current["epoch"] >= proposed.epoch
            return current if is_agreed else proposed.encode_members()

        value = await self._proposer.change(membership_rules.SUCCESSOR_KEY, keep_agreed)
        agreed = MembershipConfiguration.from_stored(value)
        await self._membership.adopt(agreed)
        self._peers.announce_configuration([*self._membership.members, *agreed.members])
        return agreed

    async def _enter_successor(self) -> bool:
        """Enter the successor of the sealed configuration, with the rows of a majority of the sealed one.

        Returns False if too few members replied, and True otherwise, even if a value is still being
        transferred.
        """
        sealed = self._membership.configuration
        successor = sealed.successor
        assert successor is not None, "the configuration is sealed"

        def select(replies: Mapping[str, TransferStateReply]) -> JoinQuorum | None:
            quorum = membership_rules.transition_quorum(sealed, replies)
            return JoinQuorum(membership_rules.enter(successor), quorum) if quorum else None

        known = self._state.accepted_ballots()
        request = TransferState(self._settings.ip, FIRST_INCARNATION, known, seal=successor)
        collected = await self._transfer.collect({*sealed.members, *successor.members}, request, select)
        if collected is None:
            return False
        try:
            rows = await self._transfer.complete_rows(collected)
        except ValueUnavailable:
            return True
        async with self._membership.lock:
            incarnations = self._merged_incarnations(collected.quorum)
            configuration = collected.quorum.configuration
            update = StateUpdate(rows, configuration=configuration, peer_incarnations=incarnations)
            await self._membership.enter(update)
        self._peers.announce_configuration(self._membership.members)
        return True

    async def _join(self, known: set[str]) -> None:
        """Enter the newest configuration, with the rows of a majority of its other members."""
        ips = known - {self._settings.ip}
        incarnation = await self._joining_incarnation(ips)
        if incarnation is None:
            return
        request = TransferState(self._settings.ip, incarnation, self._state.accepted_ballots())
        collected = await self._transfer.collect(ips, request, self._select_join_quorum)
        if collected is None or not self._is_newer(collected.quorum.configuration):
            return
        try:
            rows = await self._transfer.complete_rows(collected)
        except ValueUnavailable:
            return
        async with self._membership.lock:
            update = StateUpdate(
                rows,
                configuration=collected.quorum.configuration,
                incarnation=incarnation,
                peer_incarnations=self._merged_incarnations(collected.quorum),
            )
            await self._membership.enter(update)
        self._log.info(
            "disk rebuilt",
            rows=len(rows),
            sources=len(collected.quorum.replies),
            incarnation=incarnation,
            voter=self._membership.is_voter,
        )

    async def _joining_incarnation(self, ips: set[str]) -> int | None:
        """Return the incarnation with which this disk joins, or None if too few members replied.

        A lost disk starts the incarnation after the latest one that the others know. The others record it
        before they send their rows.
        """
        if self._membership.intact:
            return self._state.incarnation
        known = self._state.accepted_ballots()
        request = TransferState(self._settings.ip, FIRST_INCARNATION, known, successor_only=True)
        collected = await self._transfer.collect(ips, request, self._select_join_quorum)
        if collected is None:
            return None
        incarnations = [reply.incarnations for reply in collected.quorum.replies]
        return next_incarnation(self._settings.ip, incarnations)

    def _select_join_quorum(self, replies: Mapping[str, TransferStateReply]) -> JoinQuorum | None:
        is_lost = not self._membership.intact
        return membership_rules.join_quorum(self._settings.ip, replies, is_lost)

    def _is_newer(self, configuration: MembershipConfiguration) -> bool:
        return not self._membership.intact or configuration.epoch > self._membership.epoch

    def _merged_incarnations(self, quorum: JoinQuorum) -> dict[str, int]:
        """Return the latest incarnations that the quorum knows, and that this disk knows if it is intact."""
        own = [self._state.incarnations()] if self._membership.intact else []
        return merge_incarnations([*own, *(reply.incarnations for reply in quorum.replies)])
