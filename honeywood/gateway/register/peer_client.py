"""Calls to the members' disks, this controller's own among them: requests out, typed replies back."""

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
"""That a peer has for one request."""

CONFLICT_GRACE_S = 0.1
"""For which a ballot waits for further replies after one disk has rejected it."""


class PeerClient:
    """Calls other controllers' disks; calls to this one's go to `serve` directly."""

    def __init__(
        self,
        settings: Settings,
        caller: PagedCaller,
        membership: MembershipState,
        serve: Callable[[Request, str], Awaitable[Reply]],
    ) -> None:
        """`membership` tells which epoch this disk is in, and learns of later ones."""
        self._local_ip, self._port = settings.ip, settings.controller_port
        self._caller, self._membership, self._serve = caller, membership, serve

    async def call(self, ip: str, request: Request, timeout_s: float = REQUEST_TIMEOUT_S) -> Reply:
        """Return the reply of one disk; raise GatewayError where there is none."""
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
        """Call all of `ips` at once until `on_reply(ip, reply)` returns True; return whether it did.

        A reply from another epoch counts as none, and a disk that is behind is sent the configuration.
        `call(ip)` makes the calls where each takes more than one request; `timeout_s` bounds them all.
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
        """Send this disk's newest configuration to disks that may not know it; nothing relies on arrival."""
        announcement = AnnounceConfiguration(self._membership.newest.without_successor())
        for ip in {*ips} - {self._local_ip}:
            asyncio.ensure_future(_reply_or_none(self.call(ip, announcement)))


def _wait_time(now: float, deadline: float | None, conflict: bool) -> float | None:
    """Return for how many seconds further replies are awaited, None for as long as the calls last."""
    limits = [] if deadline is None else [max(0.0, deadline - now)]
    if conflict:  # members that stay silent don't hold up the ballot
        limits.append(CONFLICT_GRACE_S)
    return min(limits, default=None)


async def _reply_or_none(call: Awaitable[Reply]) -> Reply | None:
    """Return a call's reply, None where the call failed."""
    try:
        return await call
    except GatewayError:
        return None
