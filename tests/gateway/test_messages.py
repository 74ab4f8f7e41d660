"""Messages of /news: the bytes of each, as programs of before sent them; errors name field and peer."""

import asyncio
import json
import random
from dataclasses import replace

from ward import each, raises, test

from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.chunk import Chunk, ChunkCollector
from honeywood.gateway.dissemination.messages import Answer, Ask, Asker
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Record
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.errors import CallFailed, InvalidInput

# as 00fe626 wrote them; since then `who` tells the epoch, controllers contacts and the state of the disk too
CONTROLLER_ASKS = (
    '{"who":{"ip":"10.0.0.1","node":"core-1","private":true},"life":"","rev":0,"notes":[],"hold":0.5,'
    '"digest":"3e4e62e86a133455","most":8400,"held":{"config":[7]},"have":{}}'
)
PROXY_ASKS = (
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
SENT_AWAY = '{"life":"l.1","rev":0,"notes":[],"later":1.5}'
COLLECTED = '{"config":[[8],"ab",3]}'


def written(message):
    return json.dumps(message, separators=(",", ":"))


def without_new(text):
    """An ask without what `who` tells since then."""
    return text.replace(',"stamps":{},"disk":null', "").replace(',"epoch":0}', "}")


def told(rate=70_000):
    """A publisher with some records."""
    publisher = Publisher("l.1", lambda key, value: None, rate=rate)
    place = {"svc": "s", "ip": "10.0.0.9", "port": 80, "zone": "z", "ver": "v1", "slots": 4, "state": "ready"}
    publisher.store.put("bourse/10.0.0.1", [5, 1], "core-1")
    publisher.store.put("machine/i-1", [3, 0], {**place, "cold": 0.0})
    publisher.store.put("beat/i-1", [4, 0], None)
    publisher.store.put("config", [7], "x" * 9000)
    return publisher


@test("asks are the bytes of before, and so are those that are read and written again")
def _():
    sent = []

    class Caller:
        async def call(self, ip, port, path, body, within, idempotent=False):
            sent.append(written(body))
            return {"life": "l.2", "rev": 9, "notes": [], "more": False}

    counts = {"life": "0018", "rows": [], "votes": {}, "left": {}, "known": {}}
    controller = Asker("core-1", "10.0.0.1", controller=True), []
    proxy = Asker("edge-1", "10.0.0.2", "z", "0018", proxy=True), [Record("count/edge-1/0018", [2], counts)]
    for who, records in (controller, proxy):
        backoff = Backoff(random.Random(0), 1.0)
        subscriber = Subscriber(told(), Caller(), lambda who=who: who, backoff, lambda ip, own=records: own)
        asyncio.run(subscriber.ask("10.0.0.3", 7001, 0.5))
    assert [without_new(text) for text in sent] == [CONTROLLER_ASKS, PROXY_ASKS]
    for text in sent:
        assert written(Ask.decode(json.loads(text)).encode()) == text
    old = Ask.decode(json.loads(PROXY_ASKS))
    assert without_new(written(old.encode())) == PROXY_ASKS and old.who.epoch == 0
    chunks = ChunkCollector()
    chunks.take(Chunk("config", [8], "ab", 9, 0, "xyz"))
    have = Ask(old.who, have=chunks.have()).encode()["have"]
    again = Ask.decode({**json.loads(PROXY_ASKS), "have": have}).encode()
    assert written(have) == COLLECTED and again["have"] == have


@test("answers are the bytes of before, and so are those that are read and written again")
def _():
    async def play():
        publisher, proxy, controller = told(), Asker(proxy=True), Asker(controller=True)
        answer = await publisher.serve(Ask(proxy))
        short = replace(answer, chunk=replace(answer.chunk, text=answer.chunk.text[:3]))
        assert written(short.encode()) == A_CHUNK
        answer = await publisher.serve(Ask(proxy, held={"config": [7]}))
        beside = {"in_quorum": True, "fleet": (2, ["10.0.0.2"]), "counted": 2}
        assert written(replace(answer, **beside).encode()) == TO_PROXY
        answer = await publisher.serve(Ask(controller, held={"config": [7]}))
        assert written(replace(answer, in_quorum=False).encode()) == TO_CONTROLLER
        publisher.pacer.free_at = asyncio.get_running_loop().time() + 100.0
        answer = await publisher.serve(Ask(proxy))
        assert written(replace(answer, later_s=1.5).encode()) == SENT_AWAY and answer.later_s > 90.0

    asyncio.run(play())
    for text in (A_CHUNK, TO_PROXY, TO_CONTROLLER, SENT_AWAY):
        answer = Answer.decode(json.loads(text))
        assert written(answer.encode()) == text and answer.whole == (text in (TO_PROXY, TO_CONTROLLER))


ASK_FAULTS = {
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
ANSWER_FAULTS = {
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


@test("an ask with a fault in {field} is refused, and the error names field and peer")
def _(field=each(*ASK_FAULTS)):
    failed = faulty(Ask, PROXY_ASKS, ASK_FAULTS[field])
    assert field.split(": ")[-1] in str(failed) and failed.peer == "10.0.0.3" and "/news" in failed.operation


@test("an answer with a fault in {field} is a failed ask, and the error names field and peer")
def _(field=each(*ANSWER_FAULTS)):
    failed = faulty(Answer, TO_PROXY, ANSWER_FAULTS[field])
    assert field.split(": ")[-1] in str(failed) and failed.peer == "10.0.0.3" and "/news" in failed.operation

    class Caller:
        async def call(self, ip, port, path, body, within, idempotent=False):
            return {**json.loads(TO_PROXY), **ANSWER_FAULTS[field]}

    subscriber = Subscriber(told(), Caller(), Asker, Backoff(random.Random(0), 1.0))
    with raises(CallFailed):
        asyncio.run(subscriber.ask("10.0.0.3", 7001, 0.5))
    assert subscriber.known == {} and "10.0.0.3" in subscriber.backoff.failed
