"""Tests of changes by ballots."""

from timeline import World
from ward import test


@test("a ballot that one disk rejected doesn't wait for a silent one")
def _():
    # Guards against a wait of 0.8 s for the silent disk: the client got 503 although a majority was
    # available.
    world, results = World("abc"), []

    async def change():
        register, started_at = world.nodes["b"].register, world.loop.time()
        register.proposer.highest_counter = 0
        register.state.registers.pop("config", None)  # so the first ballot is below the one that c promised
        changed = await register.change("config", lambda current: {**current, "past": []})
        results.append((changed["past"] == [], world.loop.time() - started_at))

    try:
        for name in "abc":
            world.start(name)
        world.run(2.0)
        world.loop.create_task(world.ask("c", "config.replace", body=CONFIG))
        world.run(3.0)
        world.partition("a", "bc")
        world.loop.create_task(change())
        world.run(6.0)
        assert results and results[0][0] and results[0][1] < 0.5, results
    finally:
        world.close()


CONFIG = b'{"ver":"00000003","res":[{"type":"svcs","hdr":{"name":"s"},"spec":{"max_conns":3}}]}'
