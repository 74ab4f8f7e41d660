"""Tests of the acceptor's service."""

import asyncio

from timeline import World
from ward import test

from honeywood.lab.emulator.loop import HEALTHY_DISK, DiskFault


@test("while a disk hangs, requests that need it are refused at once, and it recovers afterwards")
def _():
    # Guards against requests queueing for the lock until a disk works again, however long that takes.
    world = World()
    try:
        world.play("""
          at   | a     | b     | c
          0    | start | start | start
          1    | put 5 |       |
        """)
        world.run(2.0)
        world.set_disk_fault("c", DiskFault(slowdown=10_000.0))  # a sync takes 20 s
        for version in range(6, 70):
            world.execute("ab"[version % 2], f"put {version}")
            world.run(world.loop.time() + 0.2)
        register = world.nodes["c"].register
        assert len(world.acked) > 50 and 0 < len(register.acceptor.waiting_since) < 10
        assert sum("serve" in repr(task) for task in asyncio.all_tasks(world.loop)) < 20
        world.set_disk_fault("c", HEALTHY_DISK)
        world.run(45.0)
        world.execute("a", "put 99")
        world.run(47.0)
        assert world.version("c") == 99 and register.state.registers["config"].value["ver"] == 99
        assert not register.acceptor.waiting_since
    finally:
        world.close()
