"""What programs send each other at /news, as release ae67546 sent it: fleets of mixed releases depend on it.

`recorded/dissemination.json` holds inputs and what that release made of them, as JSON. Nothing in it is ever
written anew; only the accessors at the top of this file follow the names of the code.
"""

import asyncio
import json
import random
from dataclasses import replace
from pathlib import Path

from ward import each, test

from honeywood.gateway.dissemination import epochs, rendezvous, tombstones
from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.chunks import Chunk, ChunkAssembler
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.link_pacer import LinkPacer, response_limit
from honeywood.gateway.dissemination.local_records import LocalRecords
from honeywood.gateway.dissemination.messages import FleetView, PollRequest, PollResponse, Requester
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import PATH, Record, Stamp
from honeywood.gateway.dissemination.store import Store
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.errors import CallFailed, InvalidInput
from honeywood.lab.emulator.world import Loop

RECORDED = json.loads((Path(__file__).parent / "recorded" / "dissemination.json").read_text())
PEER = "10.0.0.3"


def written(value):
    """The bytes of a message, as the caller and the applications write them."""
    return json.dumps(value, separators=(",", ":"))


# Accessors: the only part that follows renames.
def request_again(table):
    """A request that was read and is written again."""
    return written(PollRequest.decode(table, PEER).encode())


def response_again(table):
    """A response that was read and is written again, and whether it told all."""
    response = PollResponse.decode(table, PEER)
    return [written(response.encode()), response.is_complete]


def refusal_of(kind, table):
    """(operation, reason, peer) of the error that a message which can't be used raises."""
    decode = {"requests": PollRequest.decode, "responses": PollResponse.decode}[kind]
    try:
        decode(table, PEER)
    except InvalidInput as error:
        return [error.operation, error.reason, error.peer]
    raise AssertionError("it was taken")


def new_store(incarnation, on_update=lambda key, value: None, needed=lambda store, key, value: False):
    return Store(incarnation, on_update, needed)


def put(store, key, stamp, value):
    return store.put(key, Stamp(stamp), value)


def merge(store, records):
    """Takes records as they stand in a message; how many were new."""
    return store.merge([Record.decode(record, "notes", PEER) for record in records])


def contents(store):
    """All that a store holds and what it says of itself."""
    return {
        "records": [[key, held.stamp, held.value, held.revision] for key, held in store.records.items()],
        "revision": store.revision,
        "digest": store.digest,
        "epoch": store.epoch,
        "departed": store.tombstone_count,
        "large": store.large_record_stamps(),
        "doubtful": store.stale_keys(RecordKind.MACHINE),
    }


def records_since(store, incarnation, revision, private, held):
    known = {key: Stamp(stamp) for key, stamp in (held or {}).items()}
    changes = ChangeFeed(store).since(incarnation, revision, private, known)
    return [record.encode() for record in changes]


STORE_STEPS = {
    "put": put,
    "merge": merge,
    "prune": lambda store: store.prune(),
    "learn": lambda store, epoch: store.observe_epoch(epoch),
    "forget": lambda store, name, for_good: store.drop_machine(name, for_good),
    "drop": lambda store, key: store.drop(key),
    "doubt": lambda store, prefix: store.mark_stale(RecordKind(prefix.removesuffix("/"))),
    "since": records_since,
    "size": lambda store, key: ChangeFeed(store).encoded_size(key),
}


def new_publisher(incarnation, rate):
    publisher = Publisher(incarnation, link_bytes_per_s=rate)
    publisher.assembler = ChunkAssembler()
    return publisher


def store_of(publisher):
    return publisher.store


def collected(publisher):
    return {key: progress.encode() for key, progress in publisher.assembler.progress().items()}


async def serve(publisher, table):
    """The response to a request, as it is sent."""
    return (await publisher.serve(PollRequest.decode(table, PEER))).encode()


def told_bytes(publisher):
    return dict(publisher.sent_bytes)


def asker(kind, stamps, disk):
    """Who asks, as each of the two programs says it."""
    if kind == "controller":
        return Requester("core-1", "10.0.0.1", is_controller=True, echo_stamps=stamps, disk=disk)
    return Requester("edge-1", "10.0.0.2", "z", "0018", is_proxy=True)


def beside(answer_table, in_quorum, fleet, counted, stamp, disk):
    """A response with what a controller says beside it."""
    fleet = None if fleet is None else FleetView(*fleet)
    more = {
        "in_quorum": in_quorum,
        "fleet": fleet,
        "counts_number": counted,
        "echo_stamp": stamp,
        "disk": disk,
    }
    return written(replace(PollResponse.decode(answer_table, PEER), **more).encode())


class RecordedCaller:
    """In place of a network: notes what is sent and answers what was recorded."""

    def __init__(self, answers):
        self.answers, self.sent = list(answers), []

    async def call(self, ip, port, path, body, within, idempotent=False):
        self.sent.append([ip, port, path, written(body), within, idempotent])
        answer = self.answers.pop(0)
        if answer is None:
            raise CallFailed(PATH, "refused", ip)
        return answer


def new_subscriber(publisher, caller, who, records, most):
    given = [Record(key, Stamp(stamp), value) for key, stamp, value in records]
    bound = publisher.max_response_bytes
    return Subscriber(
        publisher.store,
        publisher.assembler,
        caller,
        lambda: who,
        Backoff(random.Random(7), 1.0),
        lambda: min(bound, most or bound),
        lambda ip: given,
    )


async def ask(subscriber, ip, port, hold_s):
    """Whether the peer gave an answer that can be used."""
    try:
        await subscriber.poll(ip, port, hold_s)
    except CallFailed:
        return False
    return True


def known_by(subscriber):
    return [[*peer, known.incarnation, known.revision] for peer, known in subscriber.positions.items()]


def collect(chunks):
    """What a collector makes of chunks as they stand in answers: [record or None, what it has] each."""
    collector, found = ChunkAssembler(), []
    for chunk in chunks:
        record = collector.add(Chunk.decode(chunk, PEER))
        have = {key: progress.encode() for key, progress in collector.progress().items()}
        found.append([record and record.encode(), have])
    return found


def local_records(steps):
    """What stands on a store after each step of a program that tells records of itself."""
    own, found = [], []
    store = new_store("l", lambda key, value: own[0].on_update(key))
    own.append(LocalRecords(store, 5, lambda key: key.startswith("fleet/a/")))
    for name, *given in steps:
        if name == "tell":
            own[0].publish(*given)
        elif name == "refresh":
            store.observe_epoch(*given)
            own[0].refresh()
        else:
            put(store, *given)
        found.append(contents(store))
    return found


def bucket(names, others):
    """Tombstones: the value after each of the last names, that of `others`, both merged, and who is in it."""
    values, value = [], None
    for name in names:
        value = tombstones.add(value, name)
        values.append(value)
    other = None
    for name in others:
        other = tombstones.add(other, name)
    merged = tombstones.merge(value, other)
    holds = [tombstones.contains(merged, name) for name in [*names, *others, "nobody"]]
    keys = [tombstones.bucket_key(name) for name in [*names, *others]]
    return [values[-3:], other, merged, holds, keys, tombstones.count([value, other])]


def epoch_rows(rows):
    return [
        [epochs.publication_epoch(key, stamp), epochs.is_expired(epochs.publication_epoch(key, stamp), 9)]
        for key, stamp in rows
    ]


def epoch_clock(steps):
    clock = epochs.EpochClock()
    return [clock.advance(*step) for step in steps]


def ranks(names, places):
    return [rendezvous.rank(names, place) for place in places]


def relays(proxies):
    """The relays of each proxy, and of one that isn't known."""
    known = {node: tuple(place) for node, place in proxies.items()}
    return {node: rendezvous.relays_of(node, known.get(node, ("z",))[0], known) for node in [*known, "other"]}


def pacing(rate, answers):
    pacer = LinkPacer(rate)
    return [
        response_limit(rate),
        [[pacer.backlog_s(now), pacer.schedule(now, size)] for now, size in answers],
    ]


def backing_off(steps):
    backoff, found = Backoff(random.Random(3), 1.0), []
    for name, *given in steps:
        {"answered": backoff.record_success, "silent": backoff.record_failure, "forget": backoff.forget}[
            name
        ](*given)
        found.append([[backoff.remaining_s(peer, 1.0) for peer in "pq"], backoff.available(["p", "q"], 1.0)])
    return found


# What is compared: each function makes of recorded inputs what was recorded beside them.
def on_virtual_time(work):
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


def store_steps(steps):
    """What each step on a store gives, and the store's contents after it."""
    store, found = new_store("l.1"), []
    for name, *given in steps:
        result = STORE_STEPS[name](store, *given)
        found.append([result, contents(store)])
    return found


def publisher_steps(steps, rate):
    """The responses of a publisher to recorded requests, as bytes, and the second at which each was given."""

    async def play():
        publisher, found, pending = new_publisher("l.1", rate), [], []
        loop = asyncio.get_running_loop()

        async def one(table):
            response = written(await serve(publisher, table))
            found.append([response, round(loop.time(), 6)])

        for name, *given in steps:
            if name == "put":
                put(store_of(publisher), *given)
            elif name == "wait":
                await asyncio.sleep(given[0])
            elif name == "ask":
                await one(*given)
            else:
                pending.append(asyncio.ensure_future(one(*given)))
                await asyncio.sleep(0)
        await asyncio.gather(*pending)
        return [found, told_bytes(publisher), contents(store_of(publisher))]

    return on_virtual_time(play())


def subscriber_steps(kind, records, most, answers):
    """What a subscriber sends, and what its store holds after each recorded answer."""

    async def play():
        publisher, caller = new_publisher("l.9", 70_000), RecordedCaller(answers)
        who = asker(kind, {"10.0.0.3": ["l.1", 12.5]}, "slow")
        subscriber, found = new_subscriber(publisher, caller, who, records, most), []
        for number in range(len(answers)):
            usable = await ask(subscriber, f"10.0.0.{3 + number % 2}", 7001, 0.5)
            found.append([usable, known_by(subscriber), collected(publisher), contents(store_of(publisher))])
        return [caller.sent, found]

    return on_virtual_time(play())


def merged(answers):
    """The contents of a proxy's store after all answers that it was given in an emulated fleet."""

    async def play():
        publisher, caller = new_publisher("l.9", 1e9), RecordedCaller(json.loads(text) for text in answers)
        subscriber = new_subscriber(publisher, caller, asker("proxy", {}, None), [], None)
        for _ in answers:
            await ask(subscriber, "10.0.0.3", 7001, 0.0)
        held = contents(store_of(publisher))
        return {"records": [record[:3] for record in held["records"]], "digest": held["digest"]}

    return on_virtual_time(play())


MADE = {
    "beside": beside,
    "chunks": collect,
    "local records": local_records,
    "tombstones": bucket,
    "epochs": epoch_rows,
    "epoch clock": epoch_clock,
    "ranks": ranks,
    "relays": relays,
    "pacing": pacing,
    "backoff": backing_off,
    "store": store_steps,
    "publisher": publisher_steps,
    "subscriber": subscriber_steps,
    "fleet's proxy": merged,
}


@test("the recorded {kind} are read, and written again as the same bytes")
def _(kind=each("requests", "responses")):
    again = {"requests": request_again, "responses": lambda table: response_again(table)[0]}[kind]
    for text in RECORDED[kind]:
        assert again(json.loads(text)) == text


@test("the recorded responses tell all, or a part, as they did")
def _():
    assert [response_again(json.loads(text))[1] for text in RECORDED["responses"]] == RECORDED["complete"]


@test("recorded requests with fields absent are read, and written with the recorded defaults")
def _():
    for sent, text in RECORDED["requests with fields absent"]:
        assert request_again(json.loads(sent)) == text


@test("recorded {kind} that can't be used are refused with the recorded words")
def _(kind=each("requests", "responses")):
    for sent, error in RECORDED["refused"][kind]:
        assert refusal_of(kind, json.loads(sent)) == error


@test("recorded inputs of {what} give what was recorded")
def _(what=each(*MADE)):
    assert RECORDED["made"][what]
    for given, found in RECORDED["made"][what]:
        assert json.loads(json.dumps(MADE[what](*given))) == found
