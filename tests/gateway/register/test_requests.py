"""Tests of the register's messages."""

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


BALLOT, INCARNATIONS = Ballot(3, "a"), {"b": 2}


SUCCESSOR = MembershipConfiguration(3, ("a", "c"))


CONFIGURATION = MembershipConfiguration(2, ("a", "b"), SUCCESSOR)


ROW = replies.TransferredRow(BALLOT, BALLOT, REFERENCE)


VIEW = replies.RowView(BALLOT, InlineValue({"n": 1}), True)


MESSAGES = [
    (
        requests.Prepare("k", BALLOT, 2),
        [
            replies.Promise(BALLOT, REFERENCE, INCARNATIONS),
            replies.BallotConflict(BALLOT, INCARNATIONS),
            replies.Fenced(CONFIGURATION),
        ],
    ),
    (requests.Accept("k", BALLOT, 2, REFERENCE), [replies.Accepted(INCARNATIONS), replies.ValueMissing(7)]),
    (requests.StoreChunk(chunk_at(5)), [replies.ChunkStored(9)]),
    (requests.FetchChunk(REFERENCE, 0, 9), [replies.ChunkFetched(chunk_at(9)), replies.ChunkFetched(None)]),
    (requests.Read("k", BALLOT, 2), [replies.ReadReply(VIEW, INCARNATIONS)]),
    (requests.AnnounceConfiguration(MembershipConfiguration(3, ("a",))), [replies.Acknowledged()]),
    (requests.ReadAll({"k": BALLOT}, 2), [replies.ReadAllReply({"k": VIEW}, INCARNATIONS)]),
    (
        requests.TransferState("a", 1, {"k": BALLOT}, True, SUCCESSOR),
        [replies.TransferStateReply({"k": ROW}, INCARNATIONS, CONFIGURATION)],
    ),
]


def stored(register):
    """Returns everything that a register's disk stores."""
    state = register.state
    metadata = state.configuration, state.incarnation, dict(state.peer_incarnations)
    return dict(state.registers), dict(state.heartbeats), metadata


def rejection_message(operation):
    try:
        operation()
    except GatewayError as error:
        return str(error)
    raise AssertionError("the message was not rejected")


@test("messages are the same after encoding and decoding; errors name a missing field or one of a wrong type")
def _():
    for request, expected_replies in MESSAGES:
        message = json.loads(json.dumps(requests.encode_request(request)))
        assert requests.decode_request(message, "p") == request
        messages = [(message, lambda table: requests.decode_request(table, "p"))]
        for reply in expected_replies:
            response = json.loads(json.dumps(requests.encode_reply(reply)))
            decode = lambda table, request=request: requests.decode_reply(request, table, "p")  # noqa: E731
            assert decode(response) == reply
            messages.append((response, decode))
        for table, decode in messages:
            for field in {*table} - {"chunk", "seal", "value"}:
                without = {key: value for key, value in table.items() if key != field}
                for invalid in (without, {**table, field: 1.5}):
                    error = rejection_message(lambda decode=decode, invalid=invalid: decode(invalid))
                    assert "with p" in error and field in error, error


@test("a message of the earlier format is rejected with a reason and changes nothing")
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
        error = rejection_message(lambda: world.loop.run_until_complete(serve))
        assert "with b" in error and "form 1" in error and stored(register) == before
        assert "op" not in requests.encode_request(
            requests.AnnounceConfiguration(SUCCESSOR)
        )  # receivers of the earlier format check for `op` first
    finally:
        world.close()
