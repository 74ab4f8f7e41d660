"""A world in which some controllers' links carry little, and changes of keys in it."""

import asyncio
import json
import random
import string

from timeline import World

from honeywood.gateway.register.errors import RegisterUnavailable


def large_value(length, seed=1):
    """A value whose text has about so many characters."""
    return {"text": "".join(random.Random(seed).choices(string.ascii_letters, k=length))}


class SlowLink(World):
    """Links that carry `rate` bytes a second each way, one message behind the other, to and from `slow`."""

    slow, rate = "c", 1e5

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.free_at, self.longest = {}, 0

    def queue(self, way, size):
        """Seconds until a message has come through."""
        now = self.loop.time()
        self.free_at[way] = max(now, self.free_at.get(way, 0.0)) + size / self.rate
        return self.free_at[way] - now

    async def _carry(self, message, answer):
        source, target, size = message.source, message.target, len(message.body)
        ends = [name for name in (source, target) if name in self.slow]
        if message.path != "/register" or not ends:
            return await super()._carry(message, answer)
        self.longest = max(self.longest, size)
        await asyncio.sleep(max(self.queue((end, end == source), size) for end in ends))
        if answer is not None and answer.done():
            return  # whoever asked gave up and ended the connection: what had not come through never does
        found = asyncio.get_running_loop().create_future()
        await super()._carry(message, found)
        if not found.done():
            return
        if found.exception() is not None:
            size = 200
        else:
            size = len(json.dumps(found.result()))
        self.longest = max(self.longest, size)
        await asyncio.sleep(max(self.queue((end, end == target), size) for end in ends))
        if answer is not None and not answer.done():
            answer.set_result(found.result()) if found.exception() is None else answer.set_exception(
                found.exception()
            )


def start_world(rate, slow="c"):
    world = SlowLink()
    world.rate, world.slow = rate, slow
    for name in "abc":
        world.start(name)
    world.run(1.5)
    world.fresh = False
    return world


def change_key(world, name, key, value, outcomes):
    """Has a controller change a key to a value; `told` gets (seconds, whether it succeeded)."""

    async def change():
        began = world.loop.time()
        try:
            await world.nodes[name].register.change(key, lambda stored_value: value)
        except RegisterUnavailable:
            outcomes.append((world.loop.time() - began, False))
        else:
            outcomes.append((world.loop.time() - began, True))

    world.processes[name].run(change())


def stored_value(world, name, key):
    row = world.nodes[name].register.state.registers.get(key)
    return row and row.value
