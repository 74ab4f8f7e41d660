"""Messages of /news: the bytes of each, as earlier releases sent them; errors name field and peer."""

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

# as 00fe626 wrote them; since then `who` has the epoch, and for controllers contacts and the disk's state
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
A_CHUNK = (
    '{"life":"l.1","rev":3,' + RECORDS + '],"piece":{"key":"config","stamp":[7],'
    '"mark":"093275d48bf755ddc43f0d7ec101388f","of":9002,"at":0,"text":"\\"xx"},"more":true}'
)
TO_PROXY = (
    '{"life":"l.1","rev":4,' + RECORDS + '],"more":false,"joined":true,"fleet":[2,["10.0.0.2"]],"counted":2}'
)
TO_CONTROLLER = '{"life":"l.1","rev":4,' + RECORDS + ',["beat/i-1",[4,0],null]],"more":false,"joined":false}'
PUT_OFF = '{"life":"l.1","rev":0,"notes":[],"later":1.5}'
PROGRESS = '{"config":[[8],"ab",3]}'


def written(message):
    return json.dumps(message, separators=(",", ":"))


def without_new(text):
    """A poll without what `who` has since then."""
    return text.replace(',"stamps":{},"disk":null', "").replace(',"epoch":0}', "}")


def publisher_with_records(rate=70_000):
    """A publisher with some records."""
    publisher = Publisher("l.1", link_bytes_per_s=rate)
    place = {"svc": "s", "ip": "10.0.0.9", "port": 80, "zone": "z", "ver": "v1", "slots": 4, "state": "ready"}
    publisher.store.put("bourse/10.0.0.1", Stamp.of(5, 1), "core-1")
    publisher.store.put("machine/i-1", Stamp.of(3, 0), {**place, "cold": 0.0})
    publisher.store.put("beat/i-1", Stamp.of(4, 0), None)
    publisher.store.put("config", Stamp.of(7), "x" * 9000)
    return publisher


@test("polls are the bytes of earlier releases, and so are those that are decoded and encoded again")
def _():
    sent = []

    class Caller:
        async def call(self, ip, port, path, body, timeout_s, idempotent=False):
            sent.append(written(body))
            return {"life": "l.2", "rev": 9, "notes": [], "more": False}

    counts = {"life": "0018", "rows": [], "votes": {}, "left": {}, "known": {}}
    controller = Requester("core-1", "10.0.0.1", is_controller=True), []
    proxy = (
        Requester("edge-1", "10.0.0.2", "z", "0018", is_proxy=True),
        [Record("count/edge-1/0018", Stamp.of(2), counts)],
    )
    for who, records in (controller, proxy):
        backoff = Backoff(random.Random(0), 1.0)
        publisher = publisher_with_records()
        most = publisher.max_response_bytes
        subscriber = Subscriber(
            publisher.store,
            ChunkAssembler(),
            Caller(),
            lambda who=who: who,
            backoff,
            lambda most=most: most,
            lambda ip, own=records: own,
        )
        asyncio.run(subscriber.poll("10.0.0.3", 7001, 0.5))
    assert [without_new(text) for text in sent] == [CONTROLLER_POLL, PROXY_POLL]
    for text in sent:
        assert written(PollRequest.decode(json.loads(text)).encode()) == text
    old = PollRequest.decode(json.loads(PROXY_POLL))
    assert without_new(written(old.encode())) == PROXY_POLL and old.requester.epoch == 0
    chunks = ChunkAssembler()
    chunks.add(Chunk("config", Stamp.of(8), TextChunk("ab", 9, 0, "xyz")))
    have = PollRequest(old.requester, progress=chunks.progress()).encode()["have"]
    again = PollRequest.decode({**json.loads(PROXY_POLL), "have": have}).encode()
    assert written(have) == PROGRESS and again["have"] == have


@test("responses are the bytes of earlier releases, and so are those that are decoded and encoded again")
def _():
    async def play():
        publisher, proxy, controller = (
            publisher_with_records(),
            Requester(is_proxy=True),
            Requester(is_controller=True),
        )
        response = await publisher.serve(PollRequest(proxy))
        short = replace(
            response, chunk=Chunk.decode({**response.chunk.encode(), "text": response.chunk.content.text[:3]})
        )
        assert written(short.encode()) == A_CHUNK
        response = await publisher.serve(PollRequest(proxy, known_stamps={"config": Stamp.of(7)}))
        beside = {"in_quorum": True, "fleet": FleetView(2, ["10.0.0.2"]), "counts_number": 2}
        assert written(replace(response, **beside).encode()) == TO_PROXY
        response = await publisher.serve(PollRequest(controller, known_stamps={"config": Stamp.of(7)}))
        assert written(replace(response, in_quorum=False).encode()) == TO_CONTROLLER
        publisher.pacer.free_at = asyncio.get_running_loop().time() + 100.0
        response = await publisher.serve(PollRequest(proxy))
        assert (
            written(replace(response, retry_after_s=1.5).encode()) == PUT_OFF
            and response.retry_after_s > 90.0
        )

    asyncio.run(play())
    for text in (A_CHUNK, TO_PROXY, TO_CONTROLLER, PUT_OFF):
        response = PollResponse.decode(json.loads(text))
        assert written(response.encode()) == text and response.is_complete == (
            text in (TO_PROXY, TO_CONTROLLER)
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


def faulty(kind, good, change):
    sent = {**json.loads(good), **change} if change else {}
    try:
        kind.decode(sent, "10.0.0.3")
    except InvalidInput as error:
        return error
    raise AssertionError("it was taken")


@test("a poll with a fault in {field} is refused, and the error names field and peer")
def _(field=each(*POLL_FAULTS)):
    failed = faulty(PollRequest, PROXY_POLL, POLL_FAULTS[field])
    assert field.split(": ")[-1] in str(failed) and failed.peer == "10.0.0.3" and "/news" in failed.operation


@test("a response with a fault in {field} fails the poll, and the error names field and peer")
def _(field=each(*RESPONSE_FAULTS)):
    failed = faulty(PollResponse, TO_PROXY, RESPONSE_FAULTS[field])
    assert field.split(": ")[-1] in str(failed) and failed.peer == "10.0.0.3" and "/news" in failed.operation

    class Caller:
        async def call(self, ip, port, path, body, timeout_s, idempotent=False):
            return {**json.loads(TO_PROXY), **RESPONSE_FAULTS[field]}

    backoff, store = Backoff(random.Random(0), 1.0), publisher_with_records().store
    subscriber = Subscriber(store, ChunkAssembler(), Caller(), Requester, backoff, lambda: 8400)
    with raises(CallFailed):
        asyncio.run(subscriber.poll("10.0.0.3", 7001, 0.5))
    assert subscriber.positions == {} and "10.0.0.3" in subscriber.backoff.delays
