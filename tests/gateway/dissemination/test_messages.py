"""Messages of /news: each has the bytes that earlier releases sent; errors name the field and the peer."""

import asyncio
import json
import random
from dataclasses import replace

from ward import each, raises, test

from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.chunks import Chunk, ChunkAssembler
from honeywood.gateway.dissemination.messages import FleetView, PollRequest, PollResponse, Requester
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.errors import CallFailed, InvalidInput
from honeywood.gateway.rpc.text_chunks import TextChunk

# As release 00fe626 sent them. Since then, `who` has the epoch, and for controllers the contacts and the
# state of the disk.
CONTROLLER_POLL = (
    '{"who":{"ip":"10.0.0.1","node":"core-1","private":true},"life":"","rev":0,"notes":[],"hold":0.5,'
    '"digest":"3e4e62e86a133455","most":8400,"held":{"config":[7]},"have":{}}'
)
PROXY_POLL = (
    '{"who":{"node":"edge-1","ip":"10.0.0.2","zone":"z","life":"0018","front":true},"life":"","rev":0,'
    '"notes":[["count/edge-1/0018",[2],{"life":"0018","rows":[],"votes":{},"left":{},"known":{}}]],"hold":0.5,'
    '"digest":"3e4e62e86a133455","most":8400,"held":{"config":[7]},"have":{}}'
)
RECORDS = (
    '"notes":[["bourse/10.0.0.1",[5,1],"core-1"],["machine/i-1",[3,0],{"svc":"s","ip":"10.0.0.9","port":80,'
    '"zone":"z","ver":"v1","slots":4,"state":"ready","cold":0.0}]'
)
CHUNK_RESPONSE = (
    '{"life":"l.1","rev":3,' + RECORDS + '],"piece":{"key":"config","stamp":[7],'
    '"mark":"093275d48bf755ddc43f0d7ec101388f","of":9002,"at":0,"text":"\\"xx"},"more":true}'
)
PROXY_RESPONSE = (
    '{"life":"l.1","rev":4,' + RECORDS + '],"more":false,"joined":true,"fleet":[2,["10.0.0.2"]],"counted":2}'
)
CONTROLLER_RESPONSE = (
    '{"life":"l.1","rev":4,' + RECORDS + ',["beat/i-1",[4,0],null]],"more":false,"joined":false}'
)
DEFERRED_RESPONSE = '{"life":"l.1","rev":0,"notes":[],"later":1.5}'
PROGRESS = '{"config":[[8],"ab",3]}'


def to_json(message):
    return json.dumps(message, separators=(",", ":"))


def without_new_fields(text):
    """A poll without the fields that `who` has since then."""
    return text.replace(',"stamps":{},"disk":null', "").replace(',"epoch":0}', "}")


def publisher_with_records(rate=70_000):
    """A publisher whose store has a few records."""
    publisher = Publisher("l.1", link_bytes_per_s=rate)
    machine_fields = {
        "svc": "s",
        "ip": "10.0.0.9",
        "port": 80,
        "zone": "z",
        "ver": "v1",
        "slots": 4,
        "state": "ready",
    }
    publisher.store.put("bourse/10.0.0.1", Stamp.of(5, 1), "core-1")
    publisher.store.put("machine/i-1", Stamp.of(3, 0), {**machine_fields, "cold": 0.0})
    publisher.store.put("beat/i-1", Stamp.of(4, 0), None)
    publisher.store.put("config", Stamp.of(7), "x" * 9000)
    return publisher


@test("polls have the bytes of earlier releases, also after they were decoded and encoded again")
def _():
    sent = []

    class Caller:
        async def call(self, ip, port, path, body, timeout_s, idempotent=False):
            sent.append(to_json(body))
            return {"life": "l.2", "rev": 9, "notes": [], "more": False}

    counts = {"life": "0018", "rows": [], "votes": {}, "left": {}, "known": {}}
    controller = Requester("core-1", "10.0.0.1", is_controller=True), []
    proxy = (
        Requester("edge-1", "10.0.0.2", "z", "0018", is_proxy=True),
        [Record("count/edge-1/0018", Stamp.of(2), counts)],
    )
    for requester, records in (controller, proxy):
        backoff = Backoff(random.Random(0), 1.0)
        publisher = publisher_with_records()
        max_bytes = publisher.max_response_bytes
        subscriber = Subscriber(
            publisher.store,
            ChunkAssembler(),
            Caller(),
            lambda requester=requester: requester,
            backoff,
            lambda max_bytes=max_bytes: max_bytes,
            lambda ip, local_records=records: local_records,
        )
        asyncio.run(subscriber.poll("10.0.0.3", 7001, 0.5))
    assert [without_new_fields(text) for text in sent] == [CONTROLLER_POLL, PROXY_POLL]
    for text in sent:
        assert to_json(PollRequest.decode(json.loads(text)).encode()) == text
    old = PollRequest.decode(json.loads(PROXY_POLL))
    assert without_new_fields(to_json(old.encode())) == PROXY_POLL and old.requester.epoch == 0
    chunks = ChunkAssembler()
    chunks.add(Chunk("config", Stamp.of(8), TextChunk("ab", 9, 0, "xyz")))
    encoded_progress = PollRequest(old.requester, progress=chunks.progress()).encode()["have"]
    again = PollRequest.decode({**json.loads(PROXY_POLL), "have": encoded_progress}).encode()
    assert to_json(encoded_progress) == PROGRESS and again["have"] == encoded_progress


@test("responses have the bytes of earlier releases, also after they were decoded and encoded again")
def _():
    async def compare():
        publisher, proxy, controller = (
            publisher_with_records(),
            Requester(is_proxy=True),
            Requester(is_controller=True),
        )
        response = await publisher.serve(PollRequest(proxy))
        shortened = replace(
            response, chunk=Chunk.decode({**response.chunk.encode(), "text": response.chunk.content.text[:3]})
        )
        assert to_json(shortened.encode()) == CHUNK_RESPONSE
        response = await publisher.serve(PollRequest(proxy, known_stamps={"config": Stamp.of(7)}))
        controller_fields = {"in_quorum": True, "fleet": FleetView(2, ["10.0.0.2"]), "counts_number": 2}
        assert to_json(replace(response, **controller_fields).encode()) == PROXY_RESPONSE
        response = await publisher.serve(PollRequest(controller, known_stamps={"config": Stamp.of(7)}))
        assert to_json(replace(response, in_quorum=False).encode()) == CONTROLLER_RESPONSE
        publisher.pacer.free_at = asyncio.get_running_loop().time() + 100.0
        response = await publisher.serve(PollRequest(proxy))
        assert (
            to_json(replace(response, retry_after_s=1.5).encode()) == DEFERRED_RESPONSE
            and response.retry_after_s > 90.0
        )

    asyncio.run(compare())
    for text in (CHUNK_RESPONSE, PROXY_RESPONSE, CONTROLLER_RESPONSE, DEFERRED_RESPONSE):
        response = PollResponse.decode(json.loads(text))
        assert to_json(response.encode()) == text and response.is_complete == (
            text in (PROXY_RESPONSE, CONTROLLER_RESPONSE)
        )


POLL_FAULTS = {
    "who": [],
    "who: node": {"who": {"node": 7}},
    "who: front": {"who": {"front": 1}},
    "who: epoch": {"who": {"epoch": -1}},
    "life": {"life": 7},
    "rev": {"rev": "7"},
    "notes": {"notes": [["machine/m", [1]]]},
    "notes: machine/m: stamp": {"notes": [["machine/m", ["1"], {}]]},
    "hold": {"hold": -1.0},
    "digest": {"digest": 7},
    "most": {"most": 0},
    "held: config": {"held": {"config": 7}},
    "have": {"have": {"config": [[7], "ab", -1]}},
}
RESPONSE_FAULTS = {
    "life": {"life": None},
    "rev": {"rev": True},
    "notes": {"notes": {}},
    "piece: mark": {"piece": {"key": "config", "stamp": [7], "of": 9, "at": 0, "text": ""}},
    "piece: stamp": {"piece": {"key": "config", "stamp": [], "mark": "", "of": 9, "at": 0, "text": ""}},
    "more": {"more": 1},
    "later": {"later": float("nan")},
    "joined": {"joined": "yes"},
    "fleet": {"fleet": [2]},
    "counted": {"counted": -1},
}


def decoding_error(message_type, valid, change):
    sent = {**json.loads(valid), **change} if change else {}
    try:
        message_type.decode(sent, "10.0.0.3")
    except InvalidInput as error:
        return error
    raise AssertionError("the message was accepted")


@test("a poll with a fault in {field} is refused, and the error names field and peer")
def _(field=each(*POLL_FAULTS)):
    error = decoding_error(PollRequest, PROXY_POLL, POLL_FAULTS[field])
    assert field.split(": ")[-1] in str(error) and error.peer == "10.0.0.3" and "/news" in error.operation


@test("a response with a fault in {field} fails the poll, and the error names field and peer")
def _(field=each(*RESPONSE_FAULTS)):
    error = decoding_error(PollResponse, PROXY_RESPONSE, RESPONSE_FAULTS[field])
    assert field.split(": ")[-1] in str(error) and error.peer == "10.0.0.3" and "/news" in error.operation

    class Caller:
        async def call(self, ip, port, path, body, timeout_s, idempotent=False):
            return {**json.loads(PROXY_RESPONSE), **RESPONSE_FAULTS[field]}

    backoff, store = Backoff(random.Random(0), 1.0), publisher_with_records().store
    subscriber = Subscriber(store, ChunkAssembler(), Caller(), Requester, backoff, lambda: 8400)
    with raises(CallFailed):
        asyncio.run(subscriber.poll("10.0.0.3", 7001, 0.5))
    assert subscriber.positions == {} and "10.0.0.3" in subscriber.backoff.delays
