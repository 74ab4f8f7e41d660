"""What passes between the decisions (decide.py) and whatever hosts them. Nothing is decided here.

All times are whole tenths of a millisecond on the host's clock. Objects point to each other; ids stay
with the host, which keeps what it needs of a server, an RPC or a pick in `host`.
"""

from typing import Protocol
from zlib import crc32

SECOND = 10_000
LONG_AGO = -(10**12)  # a start that nobody remembers

# How a pick ended.
ERROR, OK, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = range(8)
NEVER_RAN = (FULL, CONNECT_FAILED, MOOT)
# What a method allows.
IDEMPOTENT, TOKENED, NON_IDEMPOTENT = "idempotent", "tokened", "non-idempotent"
# Where a server stands in the list.
GONE, DRAINING, READY = range(3)
# Where a build stands, and what a vote says of it.
ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = range(4)
NO_VOTE, GO_ON, HOLD, GO_BACK = range(4)
# Why an RPC was given up (Rpc.why): it had waited for the front; too many are open; no server may be sent
# to; its soft deadline has passed; no further pick is earned.
LATE, TOO_MANY_OPEN, NO_SERVER, OUT_OF_TIME, SPENT = range(1, 6)


class Bar:
    """What kept a server from being sent to; NONE where nothing did. The figures stand in traces: they keep
    their meaning for ever, and new ones go behind."""

    # Plain figures, not an Enum's members: the decisions look them up for each server of each RPC.
    NONE, DONE, NOT_READY, PICKS, DEADLINE, MAY_HAVE_RUN, TOKEN, ONE_WAY, EXPOSURE, COLD = range(10)
    WARMING, LEFT_ALONE, SILENT, TRIED = range(10, 14)


def mark(name):
    """What a server's id is told to the decisions by: the same at every front, and in no order of its own."""
    return crc32(str(name).encode())


class Record:
    """A plain record: named slots, filled by keyword, the rest None."""

    __slots__ = ()

    def __init__(self, **given):
        for name in self.__slots__:
            setattr(self, name, given.pop(name, None))
        if given:
            raise TypeError(f"{type(self).__name__} has no {sorted(given)}")


class Method(Record):
    __slots__ = (
        "kind",
        "soft",
        "soft_stretch",
        "deadline",
        "utility",
        "late_utility",
        "group",
        "window",
        "place",
        "name",
    )


class Server(Record):
    """A server: what the list says of it, then what the decisions keep about it. `mark` is mark() of its id,
    so that all fronts have servers in one order."""

    __slots__ = (
        "build",
        "zone",
        "cell",
        "scale",
        "status",
        "booted",
        "open",
        "sent",
        "pace",
        "reported",
        "reported_at",
        "failed",
        "shun_until",
        "answered_at",
        "ill",
        "trial",
        "faded_at",
        "mark",
        "host",
    )


class Rpc(Record):
    """An RPC taken from a client. `deadline` is when this try's client gives up."""

    __slots__ = (
        "method",
        "customer",
        "key",
        "deadline",
        "work",
        "repeat",
        "taken",
        "soft",
        "picks",
        "done",
        "late",
        "begun",
        "why",
        "host",
    )


class Pick(Record):
    """One send of an RPC to a server. `result` is None while it is out."""

    __slots__ = ("rpc", "server", "number", "build", "sent", "result", "latency", "young", "timed", "host")


class Settings(Record):
    """What a front is told at start, in this project's words and times."""

    __slots__ = (
        "seed",
        "tick",
        "zone",
        "fronts",
        "me",
        "methods",
        "max_picks",
        "may_duplicate",
        "may_cancel",
        "may_probe",
        "max_wait",
        "must_ask",
        "ask_within",
        "cold_share",
        "cold_time",
        "tip_multiple",
        "tip_time",
        "report_fields",
        "cross_price",
        "probe_price",
        "caps",
        "waves",
        "free_picks",
        "exposure_window",
        "per_method",
        "guarded_steps",
        "one_way",
        "vote_rule",
        "back_votes",
        "go_votes",
        "vote_life",
        "vote_wait",
        "tally_period",
        "zones",
        "idle_close",
        "connect_within",
    )


class Tap(Protocol):
    """What the decisions tell of their reasons, where somebody listens; nothing is asked of it, and nothing
    is decided by it. `found` is Judge.tests() as it stood: (p, what, seen, of, expected) each."""

    def weighed(self, rpc: Rpc, server: Server, bar: int) -> None: ...
    def asked_all(self, rpc: Rpc, servers: list[Server], bars: list[int]) -> None: ...
    def tested(self, now: int, found: list[tuple]) -> None: ...


class Host(Protocol):
    """What the decisions ask of whoever hosts them; `tap` is None where nobody listens to their reasons."""

    tap: Tap | None

    def send(self, pick: Pick, until: int) -> None: ...
    def push_back(self, rpc: Rpc, wait: int) -> None: ...
    def abort(self, rpc: Rpc) -> None: ...
    def cancel(self, pick: Pick) -> None: ...
    def probe(self, server: Server) -> None: ...
    def wake(self, after: int) -> None: ...
    def vote(self, build: int, step: int, verdict: int) -> None: ...
    def watch(self) -> None: ...
    def log(self, text: str) -> None: ...


class Decisions(Protocol):
    """What the host calls, with the time of each call first; until `closed_until` it takes no new client."""

    closed_until: float

    def start(self, now: int) -> None: ...
    def listed(self, now: int, lines: list[tuple], whole: bool) -> None: ...
    def list_failed(self, now: int) -> None: ...
    def news(
        self, now: int, result: int, reply: bool, build: int, step: int, cap: float, standing: int, age: int
    ) -> None: ...
    def take(self, now: int, rpc: Rpc) -> None: ...
    def back(self, now: int, pick: Pick, result: int, latency: int, load: tuple, ended: bool) -> None: ...
    def begun(self, now: int, pick: Pick) -> None: ...
    def started(self, now: int, pick: Pick) -> None: ...
    def left(self, now: int, rpc: Rpc) -> None: ...
    def probed(self, now: int, server: Server, result: int, latency: int, load: tuple) -> None: ...
    def found_wrong(self, now: int, server: Server, method: Method) -> None: ...
    def tallied(
        self, now: int, build: int, method: Method, failed: int, ended: int, mean: int, age: int
    ) -> None: ...
    def woken(self, now: int) -> None: ...
