"""Sends typed requests to the members' disks, including this controller's own, and returns typed replies."""

from __future__ import annotations

import asyncio

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.register.message_fields import PATH
from honeywood.gateway.register.replies import BallotConflict, Fenced
from honeywood.gateway.register.requests import AnnounceConfiguration, decode_reply, encode_request

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.register.membership_configuration import MembershipConfiguration
    from honeywood.gateway.register.membership_state import MembershipState
    from honeywood.gateway.register.paged_caller import PagedCaller
    from honeywood.gateway.register.replies import Reply
    from honeywood.gateway.register.requests import Request

REQUEST_TIMEOUT_S = 0.8
"""The timeout of one request to a peer."""

CONFLICT_GRACE_S = 0.1
"""The grace period in which further replies are awaited after one disk has rejected a ballot."""


class PeerClient:
    """Calls the disks of other controllers over the network, and this controller's disk through `serve`."""

    def __init__(
        self,
        settings: Settings,
        caller: PagedCaller,
        membership: MembershipState,
        serve: Callable[[Request, str], Awaitable[Reply]],
    ) -> None:
        """`membership` has the epoch of this disk, and records later ones."""
        self._local_ip, self._port = settings.ip, settings.controller_port
        self._caller, self._membership, self._serve = caller, membership, serve

    async def call(self, ip: str, request: Request, timeout_s: float = REQUEST_TIMEOUT_S) -> Reply:
        """Return the reply of one disk; raise GatewayError if the call fails."""
        if ip == self._local_ip:
            return await self._serve(request, ip)
        body = encode_request(request)
        response = await self._caller.call(ip, self._port, PATH, body, timeout_s, idempotent=True)
        return decode_reply(request, response, ip)

    async def call_all(
        self,
        ips: Iterable[str],
        request: Request,
        on_reply: Callable[[str, Reply], bool],
        *,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
        call: Callable[[str], Awaitable[Reply]] | None = None,
        timeout_s: float | None = None,
    ) -> bool:
        """Call all `ips` concurrently until `on_reply(ip, reply)` returns True; return whether it did.

        A reply from another epoch is ignored, and a disk in an earlier epoch is sent the newest
        configuration. `call(ip)` replaces the single request if each call takes more than one. `timeout_s`
        bounds all calls together.
        """
        epoch, loop = self._membership.epoch, asyncio.get_running_loop()
        call = call or (lambda ip: self.call(ip, request, request_timeout_s))
        deadline = None if timeout_s is None else loop.time() + timeout_s
        ip_of = {asyncio.ensure_future(_reply_or_none(call(ip))): ip for ip in ips}
        pending, conflict = set(ip_of), False
        while pending:
            wait_s = _wait_time(loop.time(), deadline, conflict)
            done, pending = await asyncio.wait(pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                return False
            for task in done:
                reply = task.result()
                if reply is None:
                    continue
                if isinstance(reply, Fenced):
                    self._on_fenced(ip_of[task], reply.configuration, epoch)
                    continue
                conflict = conflict or isinstance(reply, BallotConflict)
                if on_reply(ip_of[task], reply):
                    return True
        return False

    def _on_fenced(self, ip: str, configuration: MembershipConfiguration, epoch: int) -> None:
        self._membership.learn(configuration)
        if configuration.epoch < epoch:
            self.announce_configuration([ip])

    def announce_configuration(self, ips: Iterable[str]) -> None:
        """Send the newest configuration to disks that may not know it, without waiting; it may get lost."""
        announcement = AnnounceConfiguration(self._membership.newest.without_successor())
        for ip in {*ips} - {self._local_ip}:
            asyncio.ensure_future(_reply_or_none(self.call(ip, announcement)))


def _wait_time(now: float, deadline: float | None, conflict: bool) -> float | None:
    """Return how many seconds to wait for further replies, or None to wait until the calls end."""
    limits = [] if deadline is None else [max(0.0, deadline - now)]
    if conflict:  # silent members must not delay a ballot that has been rejected
        limits.append(CONFLICT_GRACE_S)
    return min(limits, default=None)


async def _reply_or_none(call: Awaitable[Reply]) -> Reply | None:
    """Return a call's reply, or None if the call failed."""
    try:
        return await call
    except GatewayError:
        return None
