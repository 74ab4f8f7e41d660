"""The life of one RPC: what was asked, where it went and why, how it ended. Out of records, into plain
words."""

from honeywood.balancer.model import Exclusion
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    COMING,
    KINDS,
    LEFT,
    PICK,
    PUSHED_BACK,
    RESULT,
    TAKEN,
)

MOST_OPEN = 100_000  # RPCs that may be open at once, to be followed
RESULTS = ("error", "ok", "full", "timeout", "connect failed", "reset", "cancelled", "moot")
OUTCOMES = {ANSWERED_OK: "ok", PUSHED_BACK: "pushed back", ABORTED: "aborted"}
WHY = {
    0: "",
    1: "it had waited too long for the front",
    2: "too many RPCs were open",
    3: "no server might be sent to",
    4: "its soft deadline had passed",
    5: "no further pick was earned",
}
BARS = {
    Exclusion.NONE: "might be sent to",
    Exclusion.DONE: "the RPC was over",
    Exclusion.NOT_READY: "draining or gone",
    Exclusion.MAX_ATTEMPTS: "the RPC had all its picks",
    Exclusion.DEADLINE: "past the deadline",
    Exclusion.MAY_HAVE_RUN: "an earlier pick may have run",
    Exclusion.DEDUPLICATION: "outside the token's group or window",
    Exclusion.NO_DOWNGRADE: "an older build than answered the key",
    Exclusion.EXPOSURE: "over the cap of the build on trial",
    Exclusion.WARM_UP_BUDGET: "a cold server's budget was used",
    Exclusion.WARMING_UP: "warming up: left out by chance",
    Exclusion.EJECTED: "left alone after failures",
    Exclusion.UNRESPONSIVE: "silent with picks out",
    Exclusion.ALREADY_ATTEMPTED: "tried before",
}


def bar(number):
    return BARS.get(number, f"bar {number}")


class Life:
    """One RPC of one source: its records, in their order. Whole where its taking and its end are both there;
    `picks` are [its PICK values or None, its RESULT values or None] by number."""

    def __init__(self):
        self.taken = self.answer = self.left = None  # (time, values)
        self.picks, self.records = {}, []

    def add(self, record):
        self.records.append(record)
        kind, at = KINDS[record.kind], record.time
        if kind is TAKEN:
            self.taken = at, record.values
        elif kind is ANSWER:
            self.answer = at, record.values
        elif kind is LEFT:
            self.left = at, record.values
        elif kind in (PICK, RESULT):
            pick = self.picks.setdefault(kind.value(record.values, "number"), [None, None])
            pick[kind is RESULT] = at, record.values

    def whole(self):
        return bool(self.taken and (self.answer or self.left))

    def faults(self):
        """What is wrong with it as it stands, in words: what no life of a front may show."""
        found = []
        if sum(record.kind == ANSWER.number for record in self.records) > 1:
            found.append("more than one final answer")
        if any(pick[0] is None for pick in self.picks.values()):
            found.append("a result without its pick")
        if self.taken and self.records[0].kind != TAKEN.number:
            found.append("something came before it was taken")
        return found


class Following:
    """Keeps the lives of RPCs while they are open, MOST_OPEN at the most, and says what was wrong with those
    that ended."""

    def __init__(self):
        self.open = {}

    def add(self, record):
        """What is wrong, in words, with the life that this record ended; [] otherwise."""
        number = KINDS[record.kind].value(record.values, "rpc")
        if number is None:
            return []
        key = record.source, number
        life = self.open.setdefault(key, Life())
        life.add(record)
        if len(self.open) > MOST_OPEN:
            del self.open[next(iter(self.open))]  # the oldest, whose end was not recorded
        if not life.whole() or any(None in pick for pick in life.picks.values()):
            return []
        self.open.pop(key, None)
        return [f"RPC {number}: {fault}" for fault in life.faults()]


def lives(records):
    """{(source, rpc): Life} of records of RPCs."""
    found = {}
    for record in records:
        number = KINDS[record.kind].value(record.values, "rpc")
        if number is not None:
            found.setdefault((record.source, number), Life()).add(record)
    return found


def seconds(tenths):
    return f"{tenths / 10:.1f} ms"


def told(life, clock):
    """A life in lines; `clock` words a time."""
    start = life.taken[0] if life.taken else life.records[0].time
    lines = []
    if life.taken:
        got = dict(zip(TAKEN.at, life.taken[1]))
        lines.append(
            f"{clock(start)}  taken: {got['method']} {got['id']}"
            + (f", parcel {got['parcel']}" if got["parcel"] else "")
            + (f", customer {got['customer']}" if got["customer"] else "")
            + (f", from {got['client']}" if got["client"] else "")
            + f"; {seconds(got['deadline'])} left, waited {seconds(got['waited'])}"
            + ("; a repeat by its client" if got["repeat"] else "")
        )
    else:
        lines.append(f"{clock(start)}  its taking is not in this trace")
    for record in life.records:
        kind, at = KINDS[record.kind], f"+{seconds(record.time - start):>10}"
        got = dict(zip(kind.at, record.values))
        if kind is PICK:
            lines.append(
                f"{at}  pick {got['number']}: {got['server']} of build {got['build']}, "
                f"to be answered within {seconds(got['until'])}"
            )
            lines += weighed(got)
        elif kind is RESULT:
            load = f", load {got['load']}" if got["load"] else ""
            lines.append(
                f"{at}  pick {got['number']} ended: {RESULTS[got['result']]} by {got['server']} "
                f"after {seconds(got['latency'])}{load}"
            )
        elif kind is COMING:
            lines.append(f"{at}  pick {got['number']}: the first of its answer came from {got['server']}")
        elif kind is ANSWER:
            why = WHY.get(got["why"], f"reason {got['why']}")
            lines.append(
                f"{at}  answered: {OUTCOMES.get(got['outcome'], got['outcome'])}"
                + (f", since {why}" if why else "")
                + (f"; may come back in {seconds(got['wait'])}" if got["wait"] else "")
            )
            lines += weighed(got)
        elif kind is LEFT:
            lines.append(f"{at}  its client left before the answer")
    if not life.answer and not life.left:
        lines.append(" " * 13 + "  its end is not in this trace")
    return lines + [f"  NOT AS IT MUST BE: {fault}" for fault in life.faults()]


def weighed(got):
    lines = [f"{'':13}    {server}: {bar(number)}" for server, number in zip(got["drawn"], got["bars"])]
    if got.get("asked"):
        lines.append(f"{'':13}    none drawn was fit: all {got['asked']} were asked")
    return lines
