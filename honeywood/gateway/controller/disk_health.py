"""Checks with periodic trial writes whether this controller's disk accepts writes."""

from __future__ import annotations

import asyncio

from honeywood.gateway.errors import GatewayError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from honeywood.gateway.event_log import EventLog


CHECK_INTERVAL_S = 1.0  # seconds between trial writes; a write that takes longer counts as refused
LOG_INTERVAL_S = 5.0  # minimum seconds between log lines while a disk keeps refusing


class DiskHealth:
    """Runs trial writes and keeps their outcome."""

    def __init__(
        self, write: Callable[[], Awaitable[None]], clock: Callable[[], float], log: EventLog
    ) -> None:
        """Assume a working disk; `write` syncs without writing content, or raises Unavailable."""
        self._write, self._clock, self._log = write, clock, log
        self.refused_since: float | None = None  # start of the first of the consecutive refused writes
        self._pending: asyncio.Future[None] | None = None

    @property
    def refuses_writes(self) -> bool:
        """Whether the latest write was refused or is hanging."""
        return self.refused_since is not None

    async def check(self) -> None:
        """Start a trial write, or wait again for one that is hanging."""
        began_at = self._clock()
        if self._pending is None:
            self._pending = asyncio.ensure_future(self._try_write(began_at))
        await asyncio.wait((self._pending,), timeout=CHECK_INTERVAL_S)
        if not self._pending.done():
            self._record_refusal(began_at, "the write hangs")
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
