"""Responses to polls: what they contain, and when they are sent."""

import asyncio

from ward import test

from honeywood.gateway.dissemination.messages import PollRequest
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Stamp
from honeywood.lab.emulator.world import Loop


@test("many proxies that poll one relay at once are answered in turn or deferred, and none waits too long")
def _():
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        publisher, responses = Publisher("l", link_bytes_per_s=250_000), []
        publisher.store.put("config", Stamp.of(1), "x" * 29_000)

        async def one():
            body = {"who": {"front": True}, "rev": 0, "hold": 1.0}
            responses.append((await publisher.serve(PollRequest.decode(body)), loop.time()))

        async def all_at_once():
            await asyncio.gather(*[one() for _ in range(20)])

        loop.run_until_complete(all_at_once())
        sent = [response for response, _ in responses if response.records]
        assert 2 <= len(sent) <= 3 and all(at <= 0.4 for _, at in responses)
        assert all(
            response.retry_after_s > 0 and response.revision == 0
            for response, _ in responses
            if not response.records
        )
    finally:
        loop.close()


@test("proxies that are deferred while a large record is sent get the changes of machines at once")
def _():
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        publisher, responses = Publisher("l", link_bytes_per_s=250_000), []
        publisher.store.put("config", Stamp.of(2), "x" * 29_000)
        publisher.store.put("machine/m", Stamp.of(1), {"state": "draining"})

        async def one():
            body = {"who": {"front": True}, "rev": 0, "hold": 1.0, "held": {"config": [1]}}
            response = await publisher.serve(PollRequest.decode(body))
            responses.append((response, loop.time()))

        async def all_at_once():
            await asyncio.gather(*[one() for _ in range(20)])

        loop.run_until_complete(all_at_once())
        deferred = [response for response, _ in responses if response.retry_after_s is not None]
        assert len(deferred) >= 17 and all(at <= 0.4 for _, at in responses)
        assert all("machine/m" in [record.key for record in response.records] for response, _ in responses)
        assert all(response.revision == 0 and not response.is_complete for response in deferred)
    finally:
        loop.close()


@test("a record that wakes no poll and arrives while one is held is in its response")
def _():
    # Records that arrived in the last moments of a held poll were never sent.
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        publisher = Publisher("l")

        async def serve_held_poll():
            poll = PollRequest.decode({"who": {"private": True}, "rev": 0, "hold": 0.5})
            serving = asyncio.ensure_future(publisher.serve(poll))
            await asyncio.sleep(0.45)
            publisher.store.put("beat/m", Stamp.of(1), None)
            publisher.store.put("fleet/a/f", Stamp.of(1), None)
            return await serving

        assert [record.key for record in loop.run_until_complete(serve_held_poll()).records] == [
            "beat/m",
            "fleet/a/f",
        ]
    finally:
        loop.close()


@test("a controller is answered at once, however many proxies wait for the link")
def _():
    # When its polls were deferred behind a configuration for many proxies, a controller received none of
    # another's heartbeats. It took the response for contact, and published every machine whose heartbeats the
    # other one received as lost.
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        publisher, responses = Publisher("l", link_bytes_per_s=250_000), []
        publisher.store.put("config", Stamp.of(1), "x" * 29_000)

        async def one(requester):
            response = await publisher.serve(PollRequest.decode({"who": requester, "rev": 0, "hold": 1.0}))
            responses.append((bool(requester.get("private")), response.is_complete, loop.time()))

        async def all_at_once():
            await asyncio.gather(*[one({"front": True}) for _ in range(20)], one({"private": True}))

        loop.run_until_complete(all_at_once())
        assert (True, True, 0.0) in responses and (False, False, 0.0) in responses
    finally:
        loop.close()
