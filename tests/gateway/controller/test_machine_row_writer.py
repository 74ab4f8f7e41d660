"""Changed rows of machines are written to disk in batches, one write at a time."""

import asyncio

from ward import test

from honeywood.gateway.controller.machine_row_writer import MachineRowWriter
from honeywood.gateway.errors import Unavailable
from honeywood.gateway.register.state_update import HeartbeatRecord

ROW = HeartbeatRecord([1, 0], {"svc": "s", "ip": "m", "port": 1, "state": "ready"})


@test("while a write hangs, one more waits with all rows that change; rows of a refused write are kept")
def _():
    async def write_while_disk_hangs():
        gate, writes = asyncio.Event(), []

        async def write(changed):
            writes.append(changed)
            await gate.wait()
            if len(writes) == 1:
                raise Unavailable("register", "the disk refuses", "a")

        writer, flushes = MachineRowWriter(write), []
        for n in range(50):
            writer.update(f"i-{n}", ROW)
            flushes.append(asyncio.ensure_future(writer.flush()))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert len(writes) == 1 and len(asyncio.all_tasks()) <= 53
        gate.set()
        done = await asyncio.gather(*flushes, return_exceptions=True)
        assert len(writes) == 2 and len(writes[1]) == 50
        assert isinstance(done[0], Unavailable) and done[-1] is None

    asyncio.run(write_while_disk_hangs())
