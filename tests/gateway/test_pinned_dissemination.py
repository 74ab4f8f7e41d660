"""The messages of /news have the bytes that release ae67546 sent: fleets of mixed releases depend on that.

`recorded/dissemination.json` contains inputs and the results of that release for them, as JSON. It is never
recorded again; only the accessors at the top of this file follow the names of the code.
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


def to_json(value):
    """The JSON text of a message, as programs send it."""
    return json.dumps(value, separators=(",", ":"))


# Accessors: the only part that follows renames.
def reencoded_request(table):
    """A request after it was decoded and encoded again."""
    return to_json(PollRequest.decode(table, PEER).encode())


def reencoded_response(table):
    """A response after it was decoded and encoded again, and whether it is complete."""
    response = PollResponse.decode(table, PEER)
    return [to_json(response.encode()), response.is_complete]


def decoding_error(kind, table):
    """[operation, reason, peer] of the error that an invalid message raises."""
    decode = {"requests": PollRequest.decode, "responses": PollResponse.decode}[kind]
    try:
        decode(table, PEER)
    except InvalidInput as error:
        return [error.operation, error.reason, error.peer]
    raise AssertionError("the message was accepted")


def new_store(incarnation, on_update=lambda key, value: None, is_retained=lambda store, key, value: False):
    return Store(incarnation, on_update, is_retained)


def put(store, key, stamp, value):
    return store.put(key, Stamp(stamp), value)


def merge(store, records):
    """Merges records as they appear in a message; returns how many were added."""
    return store.merge([Record.decode(record, "notes", PEER) for record in records])


def contents(store):
    """The records and the state of a store."""
    return {
        "records": [
            [key, stored.stamp, stored.value, stored.revision] for key, stored in store.records.items()
        ],
        "revision": store.revision,
        "digest": store.digest,
        "epoch": store.epoch,
        "departed": store.tombstone_count,
        "large": store.large_record_stamps(),
        "doubtful": store.stale_keys(RecordKind.MACHINE),
    }


def records_since(store, incarnation, revision, include_controller_only, known_stamps):
    stamps = {key: Stamp(stamp) for key, stamp in (known_stamps or {}).items()}
    changes = ChangeFeed(store).since(incarnation, revision, include_controller_only, stamps)
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


def new_publisher(incarnation, link_bytes_per_s):
    publisher = Publisher(incarnation, link_bytes_per_s=link_bytes_per_s)
    publisher.assembler = ChunkAssembler()
    return publisher


def store_of(publisher):
    return publisher.store


def progress_of(publisher):
    return {key: progress.encode() for key, progress in publisher.assembler.progress().items()}


async def serve(publisher, table):
    """The response to a request, as it is sent."""
    return (await publisher.serve(PollRequest.decode(table, PEER))).encode()


def sent_bytes(publisher):
    return dict(publisher.sent_bytes)


def new_requester(kind, stamps, disk):
    """The requester of each of the two programs."""
    if kind == "controller":
        return Requester("core-1", "10.0.0.1", is_controller=True, echo_stamps=stamps, disk=disk)
    return Requester("edge-1", "10.0.0.2", "z", "0018", is_proxy=True)


def with_controller_fields(response_table, in_quorum, fleet, counts_number, stamp, disk):
    """A response with the fields that a controller adds."""
    fleet = None if fleet is None else FleetView(*fleet)
    fields = {
        "in_quorum": in_quorum,
        "fleet": fleet,
        "counts_number": counts_number,
        "echo_stamp": stamp,
        "disk": disk,
    }
    return to_json(replace(PollResponse.decode(response_table, PEER), **fields).encode())


class RecordedCaller:
    """Replaces the network: keeps what is sent, and returns the recorded responses."""

    def __init__(self, responses):
        self.responses, self.sent = list(responses), []

    async def call(self, ip, port, path, body, timeout_s, idempotent=False):
        self.sent.append([ip, port, path, to_json(body), timeout_s, idempotent])
        response = self.responses.pop(0)
        if response is None:
            raise CallFailed(PATH, "refused", ip)
        return response


def new_subscriber(publisher, caller, requester, records, max_bytes):
    own_records = [Record(key, Stamp(stamp), value) for key, stamp, value in records]
    max_response_bytes = publisher.max_response_bytes
    return Subscriber(
        publisher.store,
        publisher.assembler,
        caller,
        lambda: requester,
        Backoff(random.Random(7), 1.0),
        lambda: min(max_response_bytes, max_bytes or max_response_bytes),
        lambda ip: own_records,
    )


async def poll_succeeds(subscriber, ip, port, hold_s):
    """Whether the peer gave a valid response."""
    try:
        await subscriber.poll(ip, port, hold_s)
    except CallFailed:
        return False
    return True


def positions_of(subscriber):
    return [
        [*peer, position.incarnation, position.revision] for peer, position in subscriber.positions.items()
    ]


def assemble_chunks(chunks):
    """[record or None, progress] of an assembler after each of the chunks."""
    assembler, results = ChunkAssembler(), []
    for chunk in chunks:
        record = assembler.add(Chunk.decode(chunk, PEER))
        progress_by_key = {key: progress.encode() for key, progress in assembler.progress().items()}
        results.append([record and record.encode(), progress_by_key])
    return results


def local_records(steps):
    """The contents of a store after each step of a program that publishes records about itself."""
    programs, results = [], []
    store = new_store("l", lambda key, value: programs[0].on_update(key))
    programs.append(LocalRecords(store, 5, lambda key: key.startswith("fleet/a/")))
    for name, *arguments in steps:
        if name == "tell":
            programs[0].publish(*arguments)
        elif name == "refresh":
            store.observe_epoch(*arguments)
            programs[0].refresh()
        else:
            put(store, *arguments)
        results.append(contents(store))
    return results


def tombstone_buckets(machine_ids, others):
    """Tombstones: the values after the last ids, that of `others`, both merged, and which are contained."""
    values, value = [], None
    for name in machine_ids:
        value = tombstones.add(value, name)
        values.append(value)
    other = None
    for name in others:
        other = tombstones.add(other, name)
    merged = tombstones.merge(value, other)
    contained = [tombstones.contains(merged, name) for name in [*machine_ids, *others, "nobody"]]
    keys = [tombstones.bucket_key(name) for name in [*machine_ids, *others]]
    return [values[-3:], other, merged, contained, keys, tombstones.count([value, other])]


def publication_epochs(rows):
    return [
        [epochs.publication_epoch(key, stamp), epochs.is_expired(epochs.publication_epoch(key, stamp), 9)]
        for key, stamp in rows
    ]


def epoch_clock(steps):
    clock = epochs.EpochClock()
    return [clock.advance(*step) for step in steps]


def ranks(nodes, keys):
    return [rendezvous.rank(nodes, key) for key in keys]


def relays(proxies):
    """The relays of each proxy, and of one that is not known."""
    known = {node: tuple(location) for node, location in proxies.items()}
    return {node: rendezvous.relays_of(node, known.get(node, ("z",))[0], known) for node in [*known, "other"]}


def pacing(link_bytes_per_s, responses):
    pacer = LinkPacer(link_bytes_per_s)
    return [
        response_limit(link_bytes_per_s),
        [[pacer.backlog_s(now), pacer.schedule(now, size)] for now, size in responses],
    ]


def backoff_steps(steps):
    backoff, results = Backoff(random.Random(3), 1.0), []
    for name, *arguments in steps:
        {"answered": backoff.record_success, "silent": backoff.record_failure, "forget": backoff.forget}[
            name
        ](*arguments)
        results.append(
            [[backoff.remaining_s(peer, 1.0) for peer in "pq"], backoff.available(["p", "q"], 1.0)]
        )
    return results


# What is compared: each function computes, from recorded inputs, the results recorded with them.
def on_virtual_time(coroutine):
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


def store_steps(steps):
    """The result of each step on a store, and the store's contents after it."""
    store, results = new_store("l.1"), []
    for name, *arguments in steps:
        result = STORE_STEPS[name](store, *arguments)
        results.append([result, contents(store)])
    return results


def publisher_steps(steps, link_bytes_per_s):
    """The responses of a publisher to recorded requests, as JSON text, and the second of each response."""

    async def run():
        publisher, results, pending = new_publisher("l.1", link_bytes_per_s), [], []
        loop = asyncio.get_running_loop()

        async def respond(table):
            response = to_json(await serve(publisher, table))
            results.append([response, round(loop.time(), 6)])

        for name, *arguments in steps:
            if name == "put":
                put(store_of(publisher), *arguments)
            elif name == "wait":
                await asyncio.sleep(arguments[0])
            elif name == "ask":
                await respond(*arguments)
            else:
                pending.append(asyncio.ensure_future(respond(*arguments)))
                await asyncio.sleep(0)
        await asyncio.gather(*pending)
        return [results, sent_bytes(publisher), contents(store_of(publisher))]

    return on_virtual_time(run())


def subscriber_steps(kind, records, max_bytes, responses):
    """What a subscriber sends, and the contents of its store after each recorded response."""

    async def run():
        publisher, caller = new_publisher("l.9", 70_000), RecordedCaller(responses)
        requester = new_requester(kind, {"10.0.0.3": ["l.1", 12.5]}, "slow")
        subscriber, results = new_subscriber(publisher, caller, requester, records, max_bytes), []
        for number in range(len(responses)):
            succeeded = await poll_succeeds(subscriber, f"10.0.0.{3 + number % 2}", 7001, 0.5)
            results.append(
                [succeeded, positions_of(subscriber), progress_of(publisher), contents(store_of(publisher))]
            )
        return [caller.sent, results]

    return on_virtual_time(run())


def merged_contents(responses):
    """The contents of a proxy's store after all responses that it received in an emulated fleet."""

    async def run():
        publisher, caller = new_publisher("l.9", 1e9), RecordedCaller(json.loads(text) for text in responses)
        subscriber = new_subscriber(publisher, caller, new_requester("proxy", {}, None), [], None)
        for _ in responses:
            await poll_succeeds(subscriber, "10.0.0.3", 7001, 0.0)
        final = contents(store_of(publisher))
        return {"records": [record[:3] for record in final["records"]], "digest": final["digest"]}

    return on_virtual_time(run())


COMPUTATIONS = {
    "beside": with_controller_fields,
    "chunks": assemble_chunks,
    "local records": local_records,
    "tombstones": tombstone_buckets,
    "epochs": publication_epochs,
    "epoch clock": epoch_clock,
    "ranks": ranks,
    "relays": relays,
    "pacing": pacing,
    "backoff": backoff_steps,
    "store": store_steps,
    "publisher": publisher_steps,
    "subscriber": subscriber_steps,
    "fleet's proxy": merged_contents,
}


@test("the recorded {kind} are decoded, and encoded again to the same bytes")
def _(kind=each("requests", "responses")):
    again = {"requests": reencoded_request, "responses": lambda table: reencoded_response(table)[0]}[kind]
    for text in RECORDED[kind]:
        assert again(json.loads(text)) == text


@test("the recorded responses are complete or partial, as recorded")
def _():
    assert [reencoded_response(json.loads(text))[1] for text in RECORDED["responses"]] == RECORDED["complete"]


@test("recorded requests without some fields are decoded, and encoded with the recorded defaults")
def _():
    for sent, text in RECORDED["requests with fields absent"]:
        assert reencoded_request(json.loads(sent)) == text


@test("invalid recorded {kind} are rejected with the recorded error messages")
def _(kind=each("requests", "responses")):
    for sent, error in RECORDED["refused"][kind]:
        assert decoding_error(kind, json.loads(sent)) == error


@test("recorded inputs of {what} have the recorded results")
def _(what=each(*COMPUTATIONS)):
    assert RECORDED["made"][what]
    for arguments, results in RECORDED["made"][what]:
        assert json.loads(json.dumps(COMPUTATIONS[what](*arguments))) == results
