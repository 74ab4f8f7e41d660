"""Writes changed rows of machines to this controller's disk, one write at a time."""

from __future__ import annotations

import asyncio

from honeywood.gateway.errors import GatewayError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from honeywood.gateway.register.state_update import HeartbeatRecord

    Row = HeartbeatRecord | None


class MachineRowWriter:
    """Collects changed rows and writes them in batches.

    While a write is in progress, at most one more waits for it and collects all rows that change in the
    meantime. So a disk that hangs never has more than one write queued.
    """

    def __init__(self, write: Callable[[dict[str, Row]], Awaitable[None]]) -> None:
        """Start without any change; `write` writes rows to disk, or raises Unavailable."""
        self._write = write
        self._changed: dict[str, Row] = {}
        self._writing: asyncio.Future[None] | None = None
        self._waiting: asyncio.Future[None] | None = None

    def update(self, key: str, row: Row) -> None:
        """Add a changed row to the next write; None removes the row."""
        self._changed[key] = row

    async def flush(self) -> None:
        """Return when all changes made so far are on disk; raises Unavailable if the disk refuses them."""
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
