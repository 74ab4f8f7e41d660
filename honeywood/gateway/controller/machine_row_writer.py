"""Writes rows of machines to this controller's disk as they change, one write at a time."""

from __future__ import annotations

import asyncio

from honeywood.gateway.errors import GatewayError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from honeywood.gateway.register.state_update import HeartbeatRecord

    Row = HeartbeatRecord | None


class MachineRowWriter:
    """Collects changed rows and writes them together.

    While a write is in progress at most one more waits for it, with all that changes meanwhile: a disk that
    hangs leaves nothing queued behind it but that.
    """

    def __init__(self, write: Callable[[dict[str, Row]], Awaitable[None]]) -> None:
        """Start without any change; `write` puts rows on disk, or raises Unavailable."""
        self._write = write
        self._changed: dict[str, Row] = {}
        self._writing: asyncio.Future[None] | None = None
        self._waiting: asyncio.Future[None] | None = None

    def update(self, key: str, row: Row) -> None:
        """Take a row that has changed, None where it is to be removed."""
        self._changed[key] = row

    async def flush(self) -> None:
        """Return when what has changed by now is on disk; raises Unavailable where the disk refuses."""
        if self._waiting is None:
            self._waiting = asyncio.ensure_future(self._write_after(self._writing))
        await asyncio.shield(self._waiting)

    async def _write_after(self, previous: asyncio.Future[None] | None) -> None:
        if previous is not None and not previous.done():
            await asyncio.wait((previous,))
        self._writing, self._waiting = self._waiting, None
        changed, self._changed = self._changed, {}
        try:
            if changed:
                await self._write(changed)
        except GatewayError:
            self._changed = {**changed, **self._changed}
            raise
