"""Found in review: a read that took copies for votes, two joined sides of a cut, a ballot that waited."""

import asyncio

from timeline import World
from ward import test


@test("of two sides of a cut one at most is in quorum, however many controllers there are besides members")
def _():
    # Any one other controller was enough: each side took the machines that beat at the other one for lost.
    world = World("abcd", fronts="f")

    async def beats():
        for seq in range(9):
            for name in "bc":
                body = {"svc": "s", "addr": f"10.0.0.{ord(name)}:1", "state": "ready", "seq": seq}
                world.loop.create_task(world.ask(name, "instances.heartbeat", f"m{name}", body))
            await asyncio.sleep(1.5)

    try:
        for name in "abcdf":
            world.start(name)
        world.run(2.0)
        world.loop.create_task(beats())
        world.run(4.0)
        for name in "ad":
            world.cut(name, "bc")
        world.run(12.0)
        assert [world.nodes[name].in_quorum for name in "abcd"] == [False, True, True, False]
        assert [world.state("f", f"m{name}") for name in "bc"] == ["ready", "ready"]
    finally:
        world.close()
