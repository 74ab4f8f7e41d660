"""Responses that are relayed while they arrive."""

from socket_scene import Scene, play, status, truncated_long
from ward import test


@test("a long response that ends early is not complete for the client either")
def _():
    async def work():
        async with Scene([truncated_long]) as scene:
            found = await scene.get()
            assert status(found) == 200 and b"content-length: 1000000" in found and len(found) < 600000

    play(work)
