"""Which connections are reused."""

from socket_scene import (
    Scene,
    chunked,
    close_connection,
    ok,
    play,
    status,
    two_chunked_responses,
    two_responses,
)
from ward import each, test


@test("after {first.__name__} the next request gets its own response, with {connections} connections in all")
def _(first=each(ok, chunked, two_responses, two_chunked_responses), connections=each(1, 1, 2, 2)):
    async def work():
        async with Scene([first, ok]) as scene:
            assert b"ok" in await scene.get(b"a") and (await scene.get(b"b")).endswith(b"ok")
            assert scene.machines[0].accepted == connections

    play(work)


@test("an idle connection that the machine has closed is not used, and an unsafe request is sent once")
def _():
    async def work():
        async with Scene([ok], kind="unsafe") as scene:
            assert status(await scene.post(b"a")) == 200
            kept = scene.proxy.endpoints.by_id["i-0"].idle_connections[0]
            scene.machines[0].script = [close_connection]
            kept.stream.eof_received()  # the end of stream has been read
            scene.machines[0].script = [ok]
            assert status(await scene.post(b"b")) == 200 and scene.machines[0].accepted == 2

    play(work)
