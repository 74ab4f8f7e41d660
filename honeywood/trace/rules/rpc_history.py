"""The history of an RPC, gathered from its records and described as text: request, attempts, reasons, end."""

from honeywood.balancer.model import Exclusion
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    ARRIVAL,
    ATTEMPT,
    CLIENT_DISCONNECTED,
    KINDS,
    REJECTED,
    RESPONSE_STARTED,
    RESULT,
)

MAX_OPEN_RPCS = 100_000  # RPCs tracked at the same time
RESULT_TEXTS = ("error", "ok", "full", "timeout", "connect failed", "reset", "cancelled", "moot")
OUTCOME_TEXTS = {ANSWERED_OK: "ok", REJECTED: "pushed back", ABORTED: "aborted"}
GIVE_UP_REASONS = {
    0: "",
    1: "it had waited too long for the front",
    2: "too many RPCs were open",
    3: "no server might be sent to",
    4: "its soft deadline had passed",
    5: "no further pick was earned",
}
EXCLUSIONS = {
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


def exclusion_text(number):
    return EXCLUSIONS.get(number, f"bar {number}")


class RpcHistory:
    """The records of an RPC of one source, in their order.

    It is complete where both its arrival and its end are recorded. `attempts` maps an attempt's number to
    [(time, values) of its ATTEMPT record or None, of its RESULT record or None].
    """

    def __init__(self):
        self.arrival = self.answer = self.disconnect = None  # (time, values)
        self.attempts, self.records = {}, []

    def add(self, record):
        self.records.append(record)
        kind, at = KINDS[record.kind], record.time
        if kind is ARRIVAL:
            self.arrival = at, record.values
        elif kind is ANSWER:
            self.answer = at, record.values
        elif kind is CLIENT_DISCONNECTED:
            self.disconnect = at, record.values
        elif kind in (ATTEMPT, RESULT):
            attempt = self.attempts.setdefault(kind.value(record.values, "number"), [None, None])
            attempt[kind is RESULT] = at, record.values

    def is_complete(self):
        return bool(self.arrival and (self.answer or self.disconnect))

    def faults(self):
        """Return descriptions of what is inconsistent: no balancer may write such a history."""
        found = []
        if sum(record.kind == ANSWER.number for record in self.records) > 1:
            found.append("more than one final answer")
        if any(attempt[0] is None for attempt in self.attempts.values()):
            found.append("a result without its pick")
        if self.arrival and self.records[0].kind != ARRIVAL.number:
            found.append("a record precedes its arrival")
        return found


class HistoryTracker:
    """Tracks the histories of open RPCs, at most MAX_OPEN_RPCS, and checks those that end."""

    def __init__(self):
        self.open = {}

    def add(self, record):
        """Add a record; return descriptions of the faults of the history that it completes, [] otherwise."""
        number = KINDS[record.kind].value(record.values, "rpc")
        if number is None:
            return []
        key = record.source, number
        history = self.open.setdefault(key, RpcHistory())
        history.add(record)
        if len(self.open) > MAX_OPEN_RPCS:
            del self.open[next(iter(self.open))]  # the oldest: its end was not recorded
        if not history.is_complete() or any(None in attempt for attempt in history.attempts.values()):
            return []
        self.open.pop(key, None)
        return [f"RPC {number}: {fault}" for fault in history.faults()]


def collect_histories(records):
    """Return {(source, rpc): RpcHistory} of records; those without an RPC are skipped."""
    found = {}
    for record in records:
        number = KINDS[record.kind].value(record.values, "rpc")
        if number is not None:
            found.setdefault((record.source, number), RpcHistory()).add(record)
    return found


def milliseconds(tenths_of_ms):
    """Return a duration as text."""
    return f"{tenths_of_ms / 10:.1f} ms"


def describe(history, clock):
    """Return the lines that describe a history; `clock` formats a time."""
    start = history.arrival[0] if history.arrival else history.records[0].time
    lines = []
    if history.arrival:
        fields = dict(zip(ARRIVAL.positions, history.arrival[1]))
        lines.append(
            f"{clock(start)}  taken: {fields['method']} {fields['id']}"
            + (f", parcel {fields['parcel']}" if fields["parcel"] else "")
            + (f", customer {fields['customer']}" if fields["customer"] else "")
            + (f", from {fields['client']}" if fields["client"] else "")
            + f"; {milliseconds(fields['deadline'])} left, waited {milliseconds(fields['waited'])}"
            + ("; a repeat by its client" if fields["repeat"] else "")
        )
    else:
        lines.append(f"{clock(start)}  its arrival is not in this trace")
    for record in history.records:
        kind, at = KINDS[record.kind], f"+{milliseconds(record.time - start):>10}"
        fields = dict(zip(kind.positions, record.values))
        if kind is ATTEMPT:
            lines.append(
                f"{at}  pick {fields['number']}: {fields['server']} of build {fields['build']}, "
                f"to be answered within {milliseconds(fields['until'])}"
            )
            lines += describe_considered(fields)
        elif kind is RESULT:
            load = f", load {fields['load']}" if fields["load"] else ""
            lines.append(
                f"{at}  pick {fields['number']} ended: {RESULT_TEXTS[fields['result']]} "
                f"by {fields['server']} after {milliseconds(fields['latency'])}{load}"
            )
        elif kind is RESPONSE_STARTED:
            lines.append(f"{at}  pick {fields['number']}: the answer started from {fields['server']}")
        elif kind is ANSWER:
            reason = GIVE_UP_REASONS.get(fields["why"], f"reason {fields['why']}")
            lines.append(
                f"{at}  answered: {OUTCOME_TEXTS.get(fields['outcome'], fields['outcome'])}"
                + (f", since {reason}" if reason else "")
                + (f"; retry after {milliseconds(fields['wait'])}" if fields["wait"] else "")
            )
            lines += describe_considered(fields)
        elif kind is CLIENT_DISCONNECTED:
            lines.append(f"{at}  its client left before the answer")
    if not history.answer and not history.disconnect:
        lines.append(" " * 13 + "  its end is not in this trace")
    return lines + [f"  INCONSISTENT: {fault}" for fault in history.faults()]


def describe_considered(fields):
    lines = [
        f"{'':13}    {server}: {exclusion_text(number)}"
        for server, number in zip(fields["drawn"], fields["bars"])
    ]
    if fields.get("asked"):
        lines.append(f"{'':13}    no drawn server was eligible: all {fields['asked']} were considered")
    return lines
