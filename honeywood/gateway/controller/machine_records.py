"""Records of machines on this controller's disk, a row each, and of names that left: written when they
change, one write at a time."""

import asyncio

from honeywood.gateway.errors import GatewayError


class MachineRecords:
    """`write` puts {id: HeartbeatRecord or None} on disk, or raises GatewayError. While it does, at most one
    more write waits, with all that changes meanwhile: a disk that hangs leaves nothing queued behind it but
    that."""

    def __init__(self, write):
        """Nothing has changed yet."""
        self.write, self.changed, self.writing, self.waiting = write, {}, None, None

    def change(self, id, record):
        """A row is to be that HeartbeatRecord, or to go (None)."""
        self.changed[id] = record

    async def keep(self):
        """Ends when what has changed by now is on disk; raises GatewayError where the disk refuses."""
        if self.waiting is None:
            self.waiting = asyncio.ensure_future(self._write(self.writing))
        await asyncio.shield(self.waiting)

    async def _write(self, before):
        if before is not None and not before.done():
            await asyncio.wait((before,))
        self.writing, self.waiting = self.waiting, None
        changed, self.changed = self.changed, {}
        try:
            if changed:
                await self.write(changed)
        except GatewayError:
            self.changed = {**changed, **self.changed}
            raise
