"""Binary layout of the bench's wire: frames in, frames out. Only here do the wire's own names live.

A frame in is a header (records, bytes behind this field, clock in µs), records of EVENT_SIZE bytes and a tail
that records point into; a frame out a header (records, bytes), records of ACTION_SIZE bytes and a tail. All
is big-endian, and a record begins with its code.
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
CLOCK_SIZE = 8  # counted by the header's size
EVENT_SIZE, ACTION_SIZE = 40, 24
LIST_ENTRY = struct.Struct(">QHfIHBBf")
HELLO, VIEW, KNOCK, ESTABLISHED, OUTCOME, CLIENT_LEFT, ELAPSED, HEALTH = 1, 2, 3, 4, 5, 6, 7, 8
MAIL, EXIT, STEP_NEWS, SCORECARD, WRONG, ROSTER, CONTEXT = 9, 10, 11, 12, 13, 14, 15
# The fields of each event after its code.
EVENTS = {
    code: struct.Struct(">2x" + form)
    for code, form in {
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
SOUND_OUT, BAIL_OUT, SOURCE, SHED, RECORD, WAKE = 65, 66, 68, 69, 70, 71
LOSE, TRACK, RETRACT, DELIVER, VOTE = 73, 74, 75, 76, 77
# The fields of each action behind its code.
ACTIONS = {
    code: struct.Struct(">H" + form)
    for code, form in {
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
    """What came in cannot be a frame of this wire."""


class Frame(NamedTuple):
    """A batch of events."""

    clock_us: int
    records: list[bytes]
    tail: bytes


class ListEntry(NamedTuple):
    """A line of a server list."""

    started_us: int  # 0 where it is not known
    kind: int
    build: float
    machine: int
    cell: int
    zone: int
    status: int
    scale: float


def read_frame(stream: BinaryIO) -> Frame | None:
    """The next frame, None where the input ends between frames. Raises InvalidFrame."""
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
    """What an event is."""
    return int.from_bytes(record[:2], "big")


def fields(code: int, record: bytes) -> tuple[Any, ...]:
    """The fields of an event, as EVENTS has them."""
    return EVENTS[code].unpack_from(record)


def result_of(figure: int) -> AttemptResult:
    """How an attempt ended; one that ended in an unknown way may have run and has no answer."""
    return RESULTS.get(figure, AttemptResult.RESET)


def status_of(figure: int) -> ServerStatus:
    """A server's status; one in an unknown state gets nothing new."""
    return STATUSES.get(figure, ServerStatus.DRAINING)


def cut(tail: bytes, start: int, length: int) -> bytes:
    """A part of a frame's tail. Raises InvalidFrame where a record points past it."""
    if start + length > len(tail):
        raise InvalidFrame("a record points past the frame's tail")
    return tail[start : start + length]


def entries(tail: bytes, start: int, count: int) -> list[ListEntry]:
    """The lines of a server list. Raises InvalidFrame."""
    part = cut(tail, start, count * LIST_ENTRY.size)
    return [ListEntry(*line) for line in LIST_ENTRY.iter_unpack(part)]


class Reply:
    """One frame going out."""

    def __init__(self) -> None:
        """It has no action yet."""
        self.count = 0
        self._records: list[bytes] = []
        self._tail = b""
        self._instance: int | None = None

    def add(self, instance: int, code: int, *values: int, text: str | None = None) -> None:
        """An action of an instance; a text goes to the tail."""
        if instance != self._instance:
            self._instance = instance
            self._put(SOURCE, instance)
        if text is not None:
            data = text.encode()
            values += (len(self._tail), len(data))
            self._tail += data
        self._put(code, *values)

    def _put(self, code: int, *values: int) -> None:
        self.count += 1
        self._records.append(ACTIONS[code].pack(code, *values).ljust(ACTION_SIZE, b"\0"))

    def frame(self) -> bytes:
        """Its bytes."""
        body = b"".join(self._records) + self._tail
        return REPLY_HEADER.pack(self.count, len(body)) + body


def tenths_of_ms(microseconds: int) -> Duration:
    """Microseconds as tenths of a millisecond, rounded down."""
    return int(microseconds) // 100


def microseconds(tenths_of_ms: Duration) -> int:
    """Tenths of a millisecond as microseconds."""
    return tenths_of_ms * 100
