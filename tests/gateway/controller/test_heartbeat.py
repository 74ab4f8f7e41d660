"""Invalid heartbeat bodies and machine ids are refused."""

from ward import each, test

from honeywood.gateway.controller.heartbeat import check_machine_id, decode_heartbeat
from honeywood.gateway.errors import InvalidInput
from honeywood.gateway.rpc.statuses import status_of


@test("a heartbeat with no slots, or more than any machine has, is refused")
def _():
    # Guards against integers too large for a float, with which every selection of a machine failed.
    body = {"svc": "s", "addr": "10.0.0.1:80", "seq": 1, "state": "ready"}
    assert decode_heartbeat("i-1", {**body, "slots": 6}, "").record.slots == 6
    for slots in (10**400, 0, 1 << 21):
        try:
            decode_heartbeat("i-1", {**body, "slots": slots}, "")
        except InvalidInput as error:
            assert "slots" in error.reason
        else:
            raise AssertionError(f"{slots} slots were accepted")


INVALID_ADDRESSES = (
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
def _(addr=each(*INVALID_ADDRESSES)):
    # Guards against host names: proxies would wait for a resolver, or find no machine, at every request.
    body = {"svc": "s", "addr": addr, "seq": 1, "state": "ready"}
    try:
        decode_heartbeat("i-1", body, "10.0.0.9")
    except InvalidInput as error:
        assert status_of(error) == 400 and "addr" in str(error) and error.peer == "10.0.0.9"
    else:
        raise AssertionError("it was accepted")


@test("machine ids that can't be keys of rows on disk are refused: {id!r}")
def _(id=each("", "i\0left/00", "i" * 257, "é" * 129)):
    # lmdb limits keys to 511 bytes: after one longer id, that disk stored no machine's row any more.
    for call in (lambda: decode_heartbeat(id, {}, "p"), lambda: check_machine_id("instances.leave", id, "p")):
        try:
            call()
        except InvalidInput as error:
            assert error.reason.startswith("of ") and error.peer == "p"
        else:
            raise AssertionError("it was accepted")
