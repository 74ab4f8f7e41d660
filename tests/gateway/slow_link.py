"""Controllers on emulated links with a low data rate, and changes of keys in their register."""

import asyncio
import json
import random
import string

from timeline import World

from honeywood.gateway.register.errors import RegisterUnavailable


def large_value(length, seed=1):
    """Returns a value whose text has `length` characters."""
    return {"text": "".join(random.Random(seed).choices(string.ascii_letters, k=length))}


class SlowLink(World):
    """A world in which the links of the nodes in `slow` carry `rate` bytes per second in each direction.

    Messages in the same direction are sent one after the other. `longest` is the size of the largest one.
    """

    slow, rate = "c", 1e5

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.free_at, self.longest = {}, 0

    def queue(self, direction, size):
        """Returns the seconds until a message of `size` bytes has been transmitted."""
        now = self.loop.time()
        self.free_at[direction] = max(now, self.free_at.get(direction, 0.0)) + size / self.rate
        return self.free_at[direction] - now

    async def _deliver(self, message, answer):
        source, target, size = message.source, message.target, len(message.body)
        slow_ends = [name for name in (source, target) if name in self.slow]
        if message.path != "/register" or not slow_ends:
            return await super()._deliver(message, answer)
        self.longest = max(self.longest, size)
        await asyncio.sleep(max(self.queue((end, end == source), size) for end in slow_ends))
        if answer is not None and answer.done():
            return  # the caller gave up and closed the connection, so the rest is never transmitted
        reply = asyncio.get_running_loop().create_future()
        await super()._deliver(message, reply)
        if not reply.done():
            return
        if reply.exception() is not None:
            size = 200
        else:
            size = len(json.dumps(reply.result()))
        self.longest = max(self.longest, size)
        await asyncio.sleep(max(self.queue((end, end == target), size) for end in slow_ends))
        if answer is not None and not answer.done():
            answer.set_result(reply.result()) if reply.exception() is None else answer.set_exception(
                reply.exception()
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
    """Makes a controller change a key; appends (seconds taken, whether it succeeded) to `outcomes`."""

    async def change():
        started_at = world.loop.time()
        try:
            await world.nodes[name].register.change(key, lambda stored_value: value)
        except RegisterUnavailable:
            outcomes.append((world.loop.time() - started_at, False))
        else:
            outcomes.append((world.loop.time() - started_at, True))

    world.processes[name].run(change())


def stored_value(world, name, key):
    row = world.nodes[name].register.state.registers.get(key)
    return row and row.value
