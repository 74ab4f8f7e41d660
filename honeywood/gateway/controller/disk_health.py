"""Whether this controller's disk takes writes: a small write now and then, and what came of the latest."""

import asyncio

from honeywood.gateway.errors import GatewayError

CHECK_S = 1.0  # seconds between writes that show it; a disk that hangs for longer takes none


class DiskHealth:
    """`write` puts nothing on the disk, which costs a sync, or raises GatewayError. `refused_since` is when
    the first write of a row of refused ones was begun, None while the disk takes them."""

    def __init__(self, write, clock, say):
        self.write, self.clock, self.say = write, clock, say
        self.refused_since, self._pending = None, None

    @property
    def refuses_writes(self):
        """Whether the latest write was refused, or hangs."""
        return self.refused_since is not None

    async def check(self):
        """One write, or a look at one that hangs."""
        begun = self.clock()
        if self._pending is None:
            self._pending = asyncio.ensure_future(self._write(begun))
        await asyncio.wait((self._pending,), timeout=CHECK_S)
        if not self._pending.done():
            return self._refused(begun, "it hangs")
        written, self._pending = self._pending, None
        written.result()

    async def _write(self, begun):
        try:
            await self.write()
        except GatewayError as wrong:
            return self._refused(begun, str(wrong))
        if self.refused_since is not None:
            self.say("disk takes writes again", refused_s=round(self.clock() - self.refused_since, 1))
        self.refused_since = None

    def _refused(self, begun, why):
        self.refused_since = begun if self.refused_since is None else self.refused_since
        self.say("disk refuses writes", 5.0, why=why, refused_s=round(self.clock() - self.refused_since, 1))
