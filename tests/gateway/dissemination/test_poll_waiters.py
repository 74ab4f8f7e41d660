"""The order in which held polls are woken."""

import asyncio

from ward import test

from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Stamp
from honeywood.lab.emulator.world import Loop


@test("held polls are woken in the order in which they arrived")
def _():
    # Waiters in a set were woken in the order of memory addresses, so emulated days could not be replayed.
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        publisher, woken = Publisher("l"), []

        async def wait(n):
            if await publisher.waiters.wait(5.0, n % 3 == 0):
                woken.append(n)

        async def many():
            waits = [asyncio.ensure_future(wait(n)) for n in range(60)]
            await asyncio.sleep(0.1)
            publisher.store.put("count/f/l", Stamp.of(1), {})
            await asyncio.sleep(0.5)
            controllers = list(woken)
            publisher.store.put("machine/m", Stamp.of(1), {})
            await asyncio.gather(*waits)
            return controllers

        assert loop.run_until_complete(many()) == list(range(0, 60, 3)), "counts wake controllers only"
        assert woken[20:] == [n for n in range(60) if n % 3]
    finally:
        loop.close()
