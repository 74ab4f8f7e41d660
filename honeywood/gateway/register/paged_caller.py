"""Calls whose answers may be long: these are asked for page by page."""

from __future__ import annotations

import asyncio
from itertools import count

from honeywood.gateway.errors import CallFailed
from honeywood.gateway.register.pages import PageReceiver
from honeywood.gateway.register.paging import PAGED_STEPS, POSITION_FIELD, question_of
from honeywood.gateway.register.requests import TransferState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Hashable

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.rpc.client import Caller

PAGE_TIMEOUT_S = 0.8
ANSWER_TIMEOUT_S = 3.0
"""For all pages of an answer, as long as they come."""


class PagedCaller:
    """Calls to other controllers, as of rpc.client.Caller.

    What arrived of a state transfer stays though a page fails or time is up: the next one resumes there, as
    if its answer had been long on its way. A read counts only what was answered after it began, and so
    shares no pages with other calls.
    """

    def __init__(self, caller: Caller) -> None:
        """`caller` makes the calls."""
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
        """Return the complete answer's object; raise GatewayError where there is none."""
        step = body.get("step")
        if step not in PAGED_STEPS:
            return await self._caller.call(ip, port, path, body, timeout_s, idempotent=idempotent)
        resumable = step == TransferState.step
        question: Hashable = question_of(ip, body) if resumable else next(self._numbers)
        try:
            return await self._call_paged(question, ip, port, path, body, timeout_s, idempotent)
        finally:
            if not resumable:
                self._receiver.open.pop(question, None)

    async def _call_paged(
        self,
        question: Hashable,
        ip: str,
        port: int,
        path: str,
        body: dict[str, JsonValue],
        timeout_s: float,
        idempotent: bool,
    ) -> dict[str, JsonValue]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max(ANSWER_TIMEOUT_S, timeout_s)
        while (remaining_s := deadline - loop.time()) > 0:
            position = self._receiver.position(question)
            asked = {**body, POSITION_FIELD: list(position or ())}
            page_timeout_s = min(PAGE_TIMEOUT_S, timeout_s, remaining_s)
            answer = await self._caller.call(ip, port, path, asked, page_timeout_s, idempotent=idempotent)
            complete = self._receiver.add(question, answer, ip)
            if complete is not None:
                return complete
            if position == self._receiver.position(question):
                break  # damaged: asking again and again would make no pause
        raise CallFailed(path, "not all parts came in time", ip)
