"""The register's messages."""

import json

from slow_link import large_value
from timeline import World
from ward import test

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.register import replies, requests, values
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.row import Ballot
from honeywood.gateway.register.values import (
    InlineValue,
    ValueChunk,
    reference_to,
)

TEXT = values.canonical_text(large_value(50_000))
REFERENCE = reference_to(TEXT)


def chunk_at(start, size=10_000):
    return ValueChunk.from_text(REFERENCE, TEXT, start, size)


BALLOT, REPLY_LIVES = Ballot(3, "a"), {"b": 2}


SUCCESSOR = MembershipConfiguration(3, ("a", "c"))


CONFIGURATION = MembershipConfiguration(2, ("a", "b"), SUCCESSOR)


ROW = replies.TransferredRow(BALLOT, BALLOT, REFERENCE)


SHOWN = replies.RowView(BALLOT, InlineValue({"n": 1}), True)


MESSAGES = [
    (
        requests.Prepare("k", BALLOT, 2),
        [
            replies.Promise(BALLOT, REFERENCE, REPLY_LIVES),
            replies.BallotConflict(BALLOT, REPLY_LIVES),
            replies.Fenced(CONFIGURATION),
        ],
    ),
    (requests.Accept("k", BALLOT, 2, REFERENCE), [replies.Accepted(REPLY_LIVES), replies.ValueMissing(7)]),
    (requests.StoreChunk(chunk_at(5)), [replies.ChunkStored(9)]),
    (requests.FetchChunk(REFERENCE, 0, 9), [replies.ChunkFetched(chunk_at(9)), replies.ChunkFetched(None)]),
    (requests.Read("k", BALLOT, 2), [replies.ReadReply(SHOWN, REPLY_LIVES)]),
    (requests.AnnounceConfiguration(MembershipConfiguration(3, ("a",))), [replies.Acknowledged()]),
    (requests.ReadAll({"k": BALLOT}, 2), [replies.ReadAllReply({"k": SHOWN}, REPLY_LIVES)]),
    (
        requests.TransferState("a", 1, {"k": BALLOT}, True, SUCCESSOR),
        [replies.TransferStateReply({"k": ROW}, REPLY_LIVES, CONFIGURATION)],
    ),
]


def stored(register):
    """All that a register's disk stores."""
    state = register.state
    metadata = state.configuration, state.incarnation, dict(state.peer_incarnations)
    return dict(state.registers), dict(state.heartbeats), metadata


def rejection_of(work):
    try:
        work()
    except GatewayError as wrong:
        return str(wrong)
    raise AssertionError("it was taken")


@test("messages come out as they went in; without a field, or with one of another kind, the error names it")
def _():
    for request, answers in MESSAGES:
        message = json.loads(json.dumps(requests.encode_request(request)))
        assert requests.decode_request(message, "p") == request
        messages = [(message, lambda table: requests.decode_request(table, "p"))]
        for reply in answers:
            answer = json.loads(json.dumps(requests.encode_reply(reply)))
            read = lambda table, request=request: requests.decode_reply(request, table, "p")  # noqa: E731
            assert read(answer) == reply
            messages.append((answer, read))
        for table, read in messages:
            for field in {*table} - {"chunk", "seal", "value"}:
                without = {key: value for key, value in table.items() if key != field}
                for spoiled in (without, {**table, field: 1.5}):
                    why = rejection_of(lambda read=read, spoiled=spoiled: read(spoiled))
                    assert "with p" in why and field in why, why


@test("a message of the earlier format is rejected, with a reason, and nothing is changed")
def _():
    world = World()
    try:
        for name in "abc":
            world.start(name)
        world.run(1.0)
        register = world.nodes["a"].register
        before = stored(register)
        earlier = {"op": "accept", "key": "large", "ballot": [9, "b"], "epoch": 1, "value": {"n": 1}}
        serve = register.serve(earlier, "b")
        why = rejection_of(lambda: world.loop.run_until_complete(serve))
        assert "with b" in why and "form 1" in why and stored(register) == before
        assert "op" not in requests.encode_request(
            requests.AnnounceConfiguration(SUCCESSOR)
        )  # which the earlier one asks for first
    finally:
        world.close()
