"""Changes by ballots."""

from timeline import World
from ward import test


@test("a ballot that one disk refused doesn't wait for one that is silent")
def _():
    # It waited 0.8 s for the silent one, and its caller was sent away with 503 though a majority stood.
    world, took = World("abc"), []

    async def change():
        register, began = world.nodes["b"].register, world.loop.time()
        register.proposer.highest_counter = 0
        register.state.registers.pop("config", None)  # its first ballot is below what c has promised
        changed = await register.change("config", lambda held: {**held, "past": []})
        took.append((changed["past"] == [], world.loop.time() - began))

    try:
        for name in "abc":
            world.start(name)
        world.run(2.0)
        world.loop.create_task(world.ask("c", "config.replace", body=CONFIG))
        world.run(3.0)
        world.partition("a", "bc")
        world.loop.create_task(change())
        world.run(6.0)
        assert took and took[0][0] and took[0][1] < 0.5, took
    finally:
        world.close()


CONFIG = b'{"ver":"00000003","res":[{"type":"svcs","hdr":{"name":"s"},"spec":{"max_conns":3}}]}'
