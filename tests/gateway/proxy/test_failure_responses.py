"""The responses to requests for which no attempt got a response to relay."""

from socket_scene import Scene, ok, play, status
from ward import test


@test("a machine that doesn't answer: 504 at the deadline, not later")
def _():
    async def work():
        async def nothing(id, writer):
            pass

        async with Scene([nothing], kind="unsafe", timeout=0.05) as scene:
            found = await scene.post()
            assert status(found) == 504 and len(scene.machines[0].seen) == 1

    play(work)


@test("a rejection has its reason and Retry-After in its headers, and is counted")
def _():
    async def work():
        async with Scene([ok]) as scene:
            await scene.get(b"id1")
            scene.set_machine_state(0, "draining")
            found = (await scene.get(b"id2")).lower()
            assert status(found.upper()) == 503 and b"no machine free: state" in found
            assert b"retry-after: 0.1" in found
            logged = []
            scene.proxy.log.info = lambda event, **fields: logged.append((event, fields))
            await scene.proxy.log_counts()
            (event, fields), counts = logged[0], scene.proxy.counters.counts
            assert event == "counts" and fields["answered 200"] == fields["answered 503"] == 1
            assert counts["requests"] == 2 and counts["no machine: state"] == 1 and fields["machines"] == 1

    play(work)
