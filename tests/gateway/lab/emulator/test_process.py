"""Simulated processes can be frozen, slowed and terminated."""

import asyncio

from ward import test

from honeywood.lab.emulator.loop import Loop
from honeywood.lab.emulator.process import FROZEN, FULL_SPEED, Process


def start_processes(*names):
    """Return a loop, and processes that record the times at which they run, twenty times per second."""
    loop, times = Loop(), {name: [] for name in names}

    async def note_times(name):
        while True:
            times[name].append(loop.time())
            await asyncio.sleep(0.05)

    processes = [Process(loop, name) for name in names]
    for process in processes:
        process.run(note_times(process.name))
    return loop, times, processes


def close(loop, *processes):
    for process in processes:
        process.terminate()
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()


@test("a frozen process runs nothing while others continue; afterwards it runs callbacks before due timers")
def _():
    loop, times, (a, b) = start_processes("a", "b")
    received = []

    async def wait_for(response):
        try:
            async with asyncio.timeout(0.5):
                received.append(await response)
        except TimeoutError:
            received.append("late")

    response = loop.create_future()
    a.run(wait_for(response))
    loop.run_until_complete(asyncio.sleep(0.22))
    a.set_slowdown(FROZEN)
    loop.call_later(0.3, response.set_result, "in time")
    loop.run_until_complete(asyncio.sleep(2.0))
    assert max(times["a"]) < 0.25 and not received and len(times["b"]) > 40
    a.set_slowdown(FULL_SPEED)
    loop.run_until_complete(asyncio.sleep(0.01))
    assert max(times["a"]) > 2.2 and received == ["in time"]
    close(loop, a, b)


@test("a slowed process does a thirtieth of its work, and a frozen one that is terminated never runs again")
def _():
    loop, times, (a, b) = start_processes("a", "b")

    async def run_busily():
        while True:
            times["a"].append(loop.time())
            await asyncio.sleep(0)

    a.set_slowdown(30.0)
    a.run(run_busily())
    loop.run_until_complete(asyncio.sleep(1.0))
    assert 100 < len(times["a"]) < 200
    b.set_slowdown(FROZEN)
    loop.run_until_complete(asyncio.sleep(0.5))
    b.terminate()
    count = len(times["b"])
    loop.run_until_complete(asyncio.sleep(0.5))
    assert len(times["b"]) == count and all(task.done() for task in b.tasks)
    close(loop, a)
