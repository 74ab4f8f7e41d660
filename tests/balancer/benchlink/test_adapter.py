"""The bench's protocol: round trips, invalid frames and faults."""

import io
import struct

import pytest

from honeywood.balancer.benchlink import adapter, codec
from honeywood.balancer.decisions import admission


def frame(*records, tail=b"", clock=1000):
    body = b"".join(record.ljust(40, b"\0") for record in records) + tail
    return struct.pack(">IIQ", len(records), len(body) + 8, clock) + body


def pack(code, *values):
    return struct.pack(">H", code) + codec.EVENTS[code].pack(*values)[2:]


SETTINGS = (
    b'{"new_key": 1, "limits": {"max_attempts": 2},'
    b'"profiles": [{"idempotency": "unsafe", "aim_us": 1000000, "give_up_us": 4000000}]}'
)


ENTRY = codec.LIST_ENTRY.pack(0, 0, 3.0, 77, 1, 0, 2, 1.0)


START_RECORDS = (
    pack(codec.CONTEXT, 5),
    pack(codec.HELLO, 9, 0, len(SETTINGS)),
    pack(codec.ROSTER, 2, len(SETTINGS), 1),
    pack(codec.VIEW, 2, 1, 2),
)


def test_protocol_round_trip():
    knock = pack(codec.KNOCK, 1 << 50, 0, 0, 0, 5_000_000, 0, 0xF0)
    unknown = struct.pack(">H", 500)
    request_frame = codec.read_frame(io.BytesIO(frame(*START_RECORDS, unknown, knock, tail=SETTINGS + ENTRY)))
    process = adapter.Process()
    reply = process.answer(*request_frame).frame()
    count, size = struct.unpack_from(">II", reply)
    records = [reply[8 + 24 * index : 32 + 24 * index] for index in range(count)]
    assert size == len(reply) - 8
    assert records[0] == struct.pack(">HI", 68, 5).ljust(24, b"\0")
    assert struct.pack(">HQIQ", 76, 1 << 50, 77, 5_000_000).ljust(24, b"\0") in records
    result = pack(codec.OUTCOME, 1 << 50, 1, 1, 77, 900, 0, 0, 0, 0, 0, 0)
    assert process.answer(2000, [pack(codec.CONTEXT, 5).ljust(40, b"\0"), result, result], b"").count == 0
    assert not process.instances[5].rpcs
    assert codec.read_frame(io.BytesIO(b"")) is None


@pytest.mark.parametrize(
    "data", [b"\0" * 7, frame(*START_RECORDS)[:-3], struct.pack(">IIQ", 9, 20, 0) + b"\0" * 12]
)
def test_an_invalid_frame_ends_the_program_with_one_error_line(data, monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", type("Input", (), {"buffer": io.BytesIO(data)}))
    assert adapter.main() == 1
    assert capsys.readouterr().err.count("\n") == 1


def test_a_fault_of_the_decisions_is_reported(monkeypatch):
    monkeypatch.setattr(admission.Admission, "on_request", lambda *_: 1 / 0)
    knock = pack(codec.KNOCK, 8, 0, 0, 0, 5_000_000, 0, 0)
    request_frame = codec.read_frame(io.BytesIO(frame(*START_RECORDS, knock, tail=SETTINGS + ENTRY)))
    assert b"ZeroDivisionError" in adapter.Process().answer(*request_frame).frame()
