"""Tests of the state that a controller's disk stores."""

from timeline import World
from ward import test

from honeywood.lab.emulator.loop import HEALTHY_DISK


@test("a controller that starts while its disk refuses to open opens it later and has lost nothing")
def _():
    world = World()
    try:
        world.play("""
          at   | a     | b     | c
          0    | start | start | start
          1    | put 5 |       |
          2    | refuse, kill |  |
        """)
        world.fresh = False
        world.start("a")
        world.run(3.0)
        assert "a" not in world.nodes
        world.set_disk_fault("a", HEALTHY_DISK)
        world.run(5.0)
        assert world.version("a") == 5 and world.nodes["a"].register.state.incarnation == 1
    finally:
        world.close()
