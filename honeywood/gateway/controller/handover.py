"""Hands this controller's place in the register over to another controller before it ends as planned.

If the controller is killed in the middle, either the old or the new members stand: the change is agreed on by
the members, as any other. Without a controller that could take the place, nothing changes, so that a restart
of a member costs no place.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.register.replacement import DiskState, possible_successors

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.controller.membership import Membership
    from honeywood.gateway.controller.peer_polling import PeerPolling
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.register import Register

CHECK_INTERVAL_S = 0.05  # seconds between two steps of a handover


class Handover:
    """The handover of this controller's place."""

    def __init__(
        self,
        settings: Settings,
        register: Register,
        membership: Membership,
        contacts: Contacts,
        peers: PeerPolling,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Do nothing until `run` is called; `clock` returns monotonic seconds."""
        self._settings, self._register, self._membership = settings, register, membership
        self._contacts, self._peers, self._clock, self._log = contacts, peers, clock, log

    async def run(self, timeout_s: float) -> None:
        """Return once this controller's disk isn't needed any more, or can't be replaced.

        Waits at most `timeout_s` seconds, during which this controller must go on serving the register.
        """
        self._membership.is_leaving = True
        if not self._register.membership.is_bootstrapped:
            return
        was_member, began_at = self._is_member, self._clock()
        handover = asyncio.ensure_future(self._hand_over())
        await asyncio.wait((handover,), timeout=timeout_s)  # it may hang with this controller's own disk
        took_s = round(self._clock() - began_at, 3)
        if not handover.done():
            self._log.info("place not handed over", after_s=took_s, why="timeout")
        elif error := handover.exception():  # whatever it is, the controller must end in time
            self._log.info("place not handed over", after_s=took_s, why=repr(error))
        elif handover.result() and was_member:
            self._log.info("place handed over", after_s=took_s)

    async def _hand_over(self) -> bool:
        """Return True once the place is handed over, and False if there is no possible successor.

        Others may also need the state of a member that was replaced before: it waits, too.
        """
        while self._is_member or not await self._register.manager.is_handed_over():
            if self._is_member and not await self._propose():
                return False
            await asyncio.sleep(CHECK_INTERVAL_S)
        return True

    @property
    def _is_member(self) -> bool:
        """Whether this controller is among the newest members that it knows."""
        return self._settings.ip in self._register.membership.newest_known.members

    async def _propose(self) -> bool:
        """Propose a successor once one is ready; return False if none is in contact."""
        if self._membership.disk is not DiskState.LEAVING:
            return False
        if not self._register.membership.is_synchronized:
            return True  # another change of members is under way
        candidates = self._candidates()
        if not candidates:
            return False
        ready = await asyncio.gather(*[self._is_ready(ip) for ip in candidates])
        successor = next((ip for ip, is_ready in zip(candidates, ready, strict=True) if is_ready), None)
        if successor is not None:
            with suppress(GatewayError):  # it is proposed again until the time is over
                await self._register.manager.replace_member(self._settings.ip, successor)
        return True

    def _candidates(self) -> list[str]:
        now = self._clock()
        configuration = self._register.membership.configuration
        states = self._contacts.peer_states(now)
        return possible_successors(configuration, states, now, self._settings.bounds.contact_s)

    async def _is_ready(self, candidate: str) -> bool:
        """Ask a candidate itself: what is known of it may be older than its loss, or than its own SIGTERM.

        It must be in this epoch, so that one other member is enough for it to enter the next one.
        """
        try:
            disk = await self._peers.ask_disk_state(candidate)
            return disk is DiskState.WORKS and await self._register.manager.is_in_epoch(candidate)
        except GatewayError:
            return False
