"""Bodies of heartbeats and ids of machines that can't be used."""

from ward import each, test

from honeywood.gateway.controller.heartbeat import check_machine_id, decode_heartbeat
from honeywood.gateway.errors import InvalidInput
from honeywood.gateway.rpc.statuses import status_of


@test("a beat with more slots than any machine has is refused")
def _():
    # Found by review: a whole number too large for a fraction ended each request's choice of a machine.
    sent = {"svc": "s", "addr": "10.0.0.1:80", "seq": 1, "state": "ready"}
    assert decode_heartbeat("i-1", {**sent, "slots": 6}, "").record.slots == 6
    for slots in (10**400, 0, 1 << 21):
        try:
            decode_heartbeat("i-1", {**sent, "slots": slots}, "")
        except InvalidInput as wrong:
            assert "slots" in wrong.reason
        else:
            raise AssertionError(f"{slots} slots were taken")


NO_ADDRESSES = (
    "localhost:80",
    "machine.example:80",
    "10.0.0:80",
    "10.0.0.01:80",
    "10.0.0.256:80",
    "[::1]:80",
    "10.0.0.1:٨٠",
    "10.0.0.1:65536",
    "10.0.0.1:" + "9" * 5000,
    " 10.0.0.1:80",
    "10.0.0.1\0:80",
    ":80",
    7,
)


@test("a heartbeat from {addr!r} is refused with 400, and the error names key and peer")
def _(addr=each(*NO_ADDRESSES)):
    # Host names were taken: proxies would have waited for a resolver, or found nobody, request by request.
    sent = {"svc": "s", "addr": addr, "seq": 1, "state": "ready"}
    try:
        decode_heartbeat("i-1", sent, "10.0.0.9")
    except InvalidInput as wrong:
        assert status_of(wrong) == 400 and "addr" in str(wrong) and wrong.peer == "10.0.0.9"
    else:
        raise AssertionError("it was taken")


@test("ids that no row on disk can bear are refused: {id!r}")
def _(id=each("", "i\0left/00", "i" * 257, "é" * 129)):
    # lmdb's keys hold 511 bytes: one longer id, and no note of any machine was kept on that disk any more.
    for call in (lambda: decode_heartbeat(id, {}, "p"), lambda: check_machine_id("instances.leave", id, "p")):
        try:
            call()
        except InvalidInput as wrong:
            assert wrong.reason.startswith("of ") and wrong.peer == "p"
        else:
            raise AssertionError("it was taken")
