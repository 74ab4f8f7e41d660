"""Codec of the bench's binary protocol.

A request frame consists of a header (number of records, number of bytes after this field, clock in µs),
event records of EVENT_SIZE bytes, and a tail that records point into. A reply frame consists of a header
(number of records, number of bytes), action records of ACTION_SIZE bytes, and a tail. All numbers are
big-endian, and each record begins with its code. The names of the codes are those of the protocol and are
used only here and where the codes are dispatched.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from honeywood.balancer.model import AttemptResult, ServerStatus

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, BinaryIO

    from honeywood.balancer.model import Duration

RESULTS = {int(result): result for result in AttemptResult}
STATUSES = {int(status): status for status in ServerStatus}
HEADER = struct.Struct(">IIQ")
REPLY_HEADER = struct.Struct(">II")
CLOCK_SIZE = 8  # bytes; included in the size field of the header
EVENT_SIZE, ACTION_SIZE = 40, 24  # bytes
LIST_ENTRY = struct.Struct(">QHfIHBBf")
# Event codes, named as in the protocol. HELLO starts an instance, EXIT ends it, and CONTEXT selects the
# one that the next events belong to. ROSTER defines a server list and VIEW shows it to an instance. The
# others report a request (KNOCK), an established stream, the result of an attempt (OUTCOME), a
# disconnected client, a timer (ELAPSED), the result of a probe (HEALTH), the state of a release or the
# answer to a vote (STEP_NEWS), the platform's counts (SCORECARD) and an incorrect answer (WRONG). MAIL is
# not used.
HELLO, VIEW, KNOCK, ESTABLISHED, OUTCOME, CLIENT_LEFT, ELAPSED, HEALTH = 1, 2, 3, 4, 5, 6, 7, 8
MAIL, EXIT, STEP_NEWS, SCORECARD, WRONG, ROSTER, CONTEXT = 9, 10, 11, 12, 13, 14, 15
# The fields of each event after its code.
EVENTS = {
    code: struct.Struct(">2x" + layout)
    for code, layout in {
        HELLO: "QII",
        VIEW: "IQB",
        KNOCK: "QHIQQIB",
        ESTABLISHED: "QIBI",
        OUTCOME: "QHBIIBBffff",
        CLIENT_LEFT: "Q",
        ELAPSED: "I",
        HEALTH: "IHIBffff",
        STEP_NEWS: "BHfHBBI",
        SCORECARD: "HIIIHI",
        WRONG: "IHI",
        ROSTER: "III",
        CONTEXT: "I",
    }.items()
}
# Action codes, named as in the protocol. SOURCE names the instance of the next actions, and BAIL_OUT reports
# a fault. The others are calls of the decisions: probe (SOUND_OUT), reject (SHED), log (RECORD), wake_after
# (WAKE), abort (LOSE), watch_servers (TRACK), cancel (RETRACT), send (DELIVER) and vote.
SOUND_OUT, BAIL_OUT, SOURCE, SHED, RECORD, WAKE = 65, 66, 68, 69, 70, 71
LOSE, TRACK, RETRACT, DELIVER, VOTE = 73, 74, 75, 76, 77
# The fields of each action after its code.
ACTIONS = {
    code: struct.Struct(">H" + layout)
    for code, layout in {
        SOUND_OUT: "I",
        BAIL_OUT: "II",
        SOURCE: "I",
        SHED: "QI",
        RECORD: "II",
        WAKE: "II",
        LOSE: "Q",
        TRACK: "B",
        RETRACT: "QB",
        DELIVER: "QIQ",
        VOTE: "HBB",
    }.items()
}


class InvalidFrame(Exception):  # noqa: N818 - named for what went wrong
    """The input is not a valid frame of this protocol."""


class Frame(NamedTuple):
    """A batch of events."""

    clock_us: int
    records: list[bytes]
    tail: bytes


class ListEntry(NamedTuple):
    """An entry of a server list."""

    started_us: int  # 0 if unknown
    kind: int
    build: float
    machine: int
    cell: int
    zone: int
    status: int
    scale: float


def read_frame(stream: BinaryIO) -> Frame | None:
    """Read the next frame; None if the input ends between frames. Raises InvalidFrame."""
    header = stream.read(HEADER.size)
    if not header:
        return None
    if len(header) < HEADER.size:
        raise InvalidFrame("input ends inside a frame's header")
    count, size, clock_us = HEADER.unpack(header)
    size -= CLOCK_SIZE
    if size < count * EVENT_SIZE:
        raise InvalidFrame(f"a frame of {size} bytes cannot hold {count} records")
    body = stream.read(size)
    if len(body) < size:
        raise InvalidFrame("input ends inside a frame")
    end = count * EVENT_SIZE
    records = [body[start : start + EVENT_SIZE] for start in range(0, end, EVENT_SIZE)]
    return Frame(clock_us, records, body[end:])


def code_of(record: bytes) -> int:
    """The code of an event."""
    return int.from_bytes(record[:2], "big")


def fields(code: int, record: bytes) -> tuple[Any, ...]:
    """Unpack the fields of an event in the order of EVENTS."""
    return EVENTS[code].unpack_from(record)


def result_of(value: int) -> AttemptResult:
    """The result of an attempt; an unknown one counts as RESET: it may have run and has no answer."""
    return RESULTS.get(value, AttemptResult.RESET)


def status_of(value: int) -> ServerStatus:
    """The status of a server; an unknown one counts as DRAINING, so that it gets no new RPCs."""
    return STATUSES.get(value, ServerStatus.DRAINING)


def tail_part(tail: bytes, start: int, length: int) -> bytes:
    """A part of a frame's tail. Raises InvalidFrame if it exceeds the tail."""
    if start + length > len(tail):
        raise InvalidFrame("a record points past the frame's tail")
    return tail[start : start + length]


def entries(tail: bytes, start: int, count: int) -> list[ListEntry]:
    """Unpack the entries of a server list. Raises InvalidFrame."""
    part = tail_part(tail, start, count * LIST_ENTRY.size)
    return [ListEntry(*line) for line in LIST_ENTRY.iter_unpack(part)]


class Reply:
    """A reply frame being built."""

    def __init__(self) -> None:
        """Create a frame without actions."""
        self.count = 0
        self._records: list[bytes] = []
        self._tail = b""
        self._instance: int | None = None

    def add(self, instance: int, code: int, *values: int, text: str | None = None) -> None:
        """Append an action of an instance; a text is stored in the tail."""
        if instance != self._instance:
            self._instance = instance
            self._append_record(SOURCE, instance)
        if text is not None:
            data = text.encode()
            values += (len(self._tail), len(data))
            self._tail += data
        self._append_record(code, *values)

    def _append_record(self, code: int, *values: int) -> None:
        self.count += 1
        self._records.append(ACTIONS[code].pack(code, *values).ljust(ACTION_SIZE, b"\0"))

    def frame(self) -> bytes:
        """Serialize the frame."""
        body = b"".join(self._records) + self._tail
        return REPLY_HEADER.pack(self.count, len(body)) + body


def tenths_of_ms(microseconds: int) -> Duration:
    """Convert microseconds to tenths of a millisecond, rounded down."""
    return int(microseconds) // 100


def microseconds(tenths_of_ms: Duration) -> int:
    """Convert tenths of a millisecond to microseconds."""
    return tenths_of_ms * 100
