"""Whether this controller's disk accepts writes: a small trial write now and then, and its outcome."""

from __future__ import annotations

import asyncio

from honeywood.gateway.errors import GatewayError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from honeywood.gateway.event_log import EventLog


CHECK_INTERVAL_S = 1.0  # seconds between trial writes; one that takes longer counts as refused
LOG_INTERVAL_S = 5.0  # seconds between two lines of a disk that goes on refusing


class DiskHealth:
    """The outcome of the latest trial writes."""

    def __init__(
        self, write: Callable[[], Awaitable[None]], clock: Callable[[], float], log: EventLog
    ) -> None:
        """Start with a disk that works; `write` syncs without any content, or raises Unavailable."""
        self._write, self._clock, self._log = write, clock, log
        self.refused_since: float | None = None  # when the first of an unbroken row of refused writes began
        self._pending: asyncio.Future[None] | None = None

    @property
    def refuses_writes(self) -> bool:
        """Whether the latest write was refused, or hangs."""
        return self.refused_since is not None

    async def check(self) -> None:
        """Begins a write, or waits on for one that hangs."""
        began_at = self._clock()
        if self._pending is None:
            self._pending = asyncio.ensure_future(self._try_write(began_at))
        await asyncio.wait((self._pending,), timeout=CHECK_INTERVAL_S)
        if not self._pending.done():
            self._record_refusal(began_at, "it hangs")
            return
        finished, self._pending = self._pending, None
        finished.result()

    async def _try_write(self, began_at: float) -> None:
        try:
            await self._write()
        except GatewayError as error:
            self._record_refusal(began_at, str(error))
            return
        if self.refused_since is not None:
            refused_s = round(self._clock() - self.refused_since, 1)
            self._log.info("disk takes writes again", refused_s=refused_s)
        self.refused_since = None

    def _record_refusal(self, began_at: float, reason: str) -> None:
        if self.refused_since is None:
            self.refused_since = began_at
        refused_s = round(self._clock() - self.refused_since, 1)
        self._log.info("disk refuses writes", min_interval_s=LOG_INTERVAL_S, why=reason, refused_s=refused_s)
