"""Binary layout of the bench's wire: frames in, frames out. Only here do the wire's own names live."""

import struct

HEAD = struct.Struct(">IIQ")
REPLY_HEAD = struct.Struct(">II")
EVENT, ACTION, ENTRY = 40, 24, struct.Struct(">QHfIHBBf")
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
SOUND_OUT, BAIL_OUT, SOURCE, SHED, RECORD, WAKE, LOSE, TRACK, RETRACT, DELIVER, VOTE = (
    65,
    66,
    68,
    69,
    70,
    71,
    73,
    74,
    75,
    76,
    77,
)
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


class BadFrame(Exception):
    """What came in cannot be a frame of this wire."""


def read_frame(stream):
    """Next frame as (clock, records, tail), or None where the input ends between frames."""
    head = stream.read(HEAD.size)
    if not head:
        return None
    if len(head) < HEAD.size:
        raise BadFrame("input ends inside a frame's header")
    count, size, clock = HEAD.unpack(head)
    size -= 8  # the length counts the clock
    if size < count * EVENT:
        raise BadFrame(f"a frame of {size} bytes cannot hold {count} records")
    body = stream.read(size)
    if len(body) < size:
        raise BadFrame("input ends inside a frame")
    return clock, [body[at : at + EVENT] for at in range(0, count * EVENT, EVENT)], body[count * EVENT :]


def fields(code, record):
    return EVENTS[code].unpack_from(record)


def cut(tail, start, length):
    if start + length > len(tail):
        raise BadFrame("a record points past the frame's tail")
    return tail[start : start + length]


def entries(tail, start, count):
    """The lines of a server list: (booted µs, kind, build, machine, cell, zone, status, scale)."""
    return list(ENTRY.iter_unpack(cut(tail, start, count * ENTRY.size)))


class Reply:
    """One frame going out."""

    def __init__(self):
        self.count, self.records, self.tail, self.who = 0, [], b"", None

    def add(self, who, code, *values, text=None):
        if who != self.who:
            self.who = who
            self.put(SOURCE, who)
        if text is not None:
            data = text.encode()
            values += (len(self.tail), len(data))
            self.tail += data
        self.put(code, *values)

    def put(self, code, *values):
        self.count += 1
        self.records.append(ACTIONS[code].pack(code, *values).ljust(ACTION, b"\0"))

    def frame(self):
        body = b"".join(self.records) + self.tail
        return REPLY_HEAD.pack(self.count, len(body)) + body


def units(us):
    """Microseconds as tenths of a millisecond."""
    return int(us) // 100
