"""Polls, and the merging of their responses."""

import asyncio
import random

from ward import test

from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.chunks import ChunkAssembler
from honeywood.gateway.dissemination.messages import PollRequest, Requester
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.lab.emulator.world import Loop


@test("a proxy that has all records from other peers is sent none again by a peer that has just started")
def _():
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        sender = Publisher("new")
        receiver = Publisher("h")
        for publisher, keys in ((sender, range(50)), (receiver, reversed(range(50)))):
            for n in keys:
                publisher.store.put(f"machine/{n}", Stamp.of(n), {"n": n})

        class Caller:
            async def call(self, ip, port, path, body, timeout_s, idempotent=False):
                return (await sender.serve(PollRequest.decode(body, ip))).encode()

        requester, backoff = Requester(is_proxy=True), Backoff(random.Random(0), 1.0)
        max_bytes = receiver.max_response_bytes
        subscriber = Subscriber(
            receiver.store, ChunkAssembler(), Caller(), lambda: requester, backoff, lambda: max_bytes
        )
        response = loop.run_until_complete(subscriber.poll("p", 1, 0.0))
        assert response.records == [] and response.revision == 50
        sender.store.put("machine/7", Stamp.of(99), {"n": 0})
        response = loop.run_until_complete(subscriber.poll("p", 1, 0.0))
        assert [record.key for record in response.records] == ["machine/7"]
    finally:
        loop.close()


@test("the rest of a version that has arrived from another peer meanwhile is not requested")
def _():
    # A poll that is held while another loop receives the same version is answered with its first chunk.
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        sender, receiver = Publisher("l", link_bytes_per_s=100e3), Publisher("h")
        old, new = (character * 40_000 for character in "ab")
        characters = []

        class Caller:
            async def call(self, ip, port, path, body, timeout_s, idempotent=False):
                response = await sender.serve(PollRequest.decode(body, ip))
                if response.chunk:
                    characters.append(len(response.chunk.content.text))
                return response.encode()

        assembler, backoff = ChunkAssembler(), Backoff(random.Random(0), 1.0)
        subscriber = Subscriber(
            receiver.store, assembler, Caller(), lambda: Requester(is_proxy=True), backoff, lambda: 12_000
        )
        sender.store.put("config", Stamp.of(1), old)
        loop.run_until_complete(subscriber.poll("p", 1, 0.0))
        assert characters == [12_000]
        receiver.store.put("config", Stamp.of(1), old)
        sender.store.put("config", Stamp.of(2), new)
        while receiver.store.stamp("config") != (2,):
            loop.run_until_complete(subscriber.poll("p", 1, 0.0))
        assert sum(characters) <= 12_000 + len(new) + 2, f"{characters}"
    finally:
        loop.close()
