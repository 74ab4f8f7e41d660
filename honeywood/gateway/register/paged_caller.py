"""Calls to other controllers; long responses are requested page by page."""

from __future__ import annotations

import asyncio
from itertools import count

from honeywood.gateway.errors import CallFailed
from honeywood.gateway.register.pages import PageReceiver
from honeywood.gateway.register.paging import PAGED_STEPS, POSITION_FIELD, make_call_key
from honeywood.gateway.register.requests import TransferState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Hashable

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.rpc.client import Caller

PAGE_TIMEOUT_S = 0.8
RESPONSE_TIMEOUT_S = 3.0
"""The timeout for all pages of a response together, as long as each of them arrives."""


class PagedCaller:
    """Calls to other controllers, with the interface of rpc.client.Caller.

    The received pages of a state transfer are kept if a page fails or the timeout expires, and the next
    equal request resumes there. A read must only use replies that were made after it began, so it shares no
    pages with other calls.
    """

    def __init__(self, caller: Caller) -> None:
        """Make the calls for single pages with `caller`."""
        self._caller = caller
        self._receiver = PageReceiver()
        self._numbers = count(1)

    async def call(
        self,
        ip: str,
        port: int,
        path: str,
        body: dict[str, JsonValue],
        timeout_s: float,
        idempotent: bool = False,
    ) -> dict[str, JsonValue]:
        """Return the JSON object of the complete response; raise GatewayError if there is none."""
        step = body.get("step")
        if step not in PAGED_STEPS:
            return await self._caller.call(ip, port, path, body, timeout_s, idempotent=idempotent)
        resumable = step == TransferState.step
        call_key: Hashable = make_call_key(ip, body) if resumable else next(self._numbers)
        try:
            return await self._call_paged(call_key, ip, port, path, body, timeout_s, idempotent)
        finally:
            if not resumable:
                self._receiver.open.pop(call_key, None)

    async def _call_paged(
        self,
        call_key: Hashable,
        ip: str,
        port: int,
        path: str,
        body: dict[str, JsonValue],
        timeout_s: float,
        idempotent: bool,
    ) -> dict[str, JsonValue]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max(RESPONSE_TIMEOUT_S, timeout_s)
        while (remaining_s := deadline - loop.time()) > 0:
            position = self._receiver.position(call_key)
            paged_body = {**body, POSITION_FIELD: list(position or ())}
            page_timeout_s = min(PAGE_TIMEOUT_S, timeout_s, remaining_s)
            response = await self._caller.call(
                ip, port, path, paged_body, page_timeout_s, idempotent=idempotent
            )
            complete = self._receiver.add(call_key, response, ip)
            if complete is not None:
                return complete
            if position == self._receiver.position(call_key):
                break  # the page was damaged; retrying here would loop without a pause
        raise CallFailed(path, "not all pages arrived in time", ip)
