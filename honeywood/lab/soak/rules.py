"""What a soak has seen, and which rules it broke. Pure: all times are told, seconds on the soak's clock.

gone     a machine is rid of a repeatable request GONE_WITHIN_S after its client has left, where the proxy was
         undisturbed around it
once     a request that may not be repeated runs once at most
promise  what was answered 408, 421, 429 or 503 has not run, and doesn't
own      a success carries the answer to its own request
tenant   a machine hears the name of a tenant that a configuration names as the owner of the client's key
key      nothing runs with a key that no configuration has held, and no machine is shown a key
kept     the newest configuration that was acknowledged is read back in the end
quiet    once all clients have left, no proxy holds an open request or attempt
told     no process tells of a violated invariant or a failed loop
served   most requests of clients that stay are served
"""

from collections import defaultdict
from dataclasses import dataclass, field

from honeywood.lab.emulator.rules.requests import GONE_WITHIN_S, PROMISES

UNDISTURBED_S = 1.0  # seconds around a leaving in which nothing may happen to its proxy
SERVED_SHARE = 0.5  # of requests whose clients stay


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken."""

    rule: str
    why: str


@dataclass(slots=True)
class Try:
    """One request of a client, and what came of it."""

    id: bytes
    safe: bool
    proxy: str
    key: str
    sent_at: float
    left_at: float | None = None
    status: int | None = None
    body: bytes = b""


@dataclass(slots=True)
class Run:
    """One run of a request at a machine; `ended_at` is None while the machine is at it."""

    id: bytes
    tenant: str
    showed_key: bool
    began_at: float
    ended_at: float | None = None


@dataclass(slots=True)
class Record:
    """All that a soak has seen."""

    tries: dict[bytes, Try] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    disturbed: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    owners: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))  # by key
    acknowledged: int = 0  # the highest configuration
    read_back: int | None = None
    open_at_end: dict[str, float] = field(default_factory=dict)  # requests and attempts, by proxy
    complaints: list[str] = field(default_factory=list)  # lines of logs that tell of a fault of ours
    observer_lag_s: float = 0.0  # the longest that the soak itself stood still


def breaches(record: Record) -> list[Breach]:
    """Every rule that was broken."""
    runs_of = defaultdict(list)
    for run in record.runs:
        runs_of[run.id].append(run)
    found = [Breach("told", line) for line in record.complaints]
    for one in record.tries.values():
        found += _of_try(one, runs_of[one.id], record)
    if record.read_back != record.acknowledged:
        found.append(Breach("kept", f"{record.read_back} is read back, not {record.acknowledged}"))
    found += [
        Breach("quiet", f"{name}: {count:g} open") for name, count in record.open_at_end.items() if count
    ]
    stayed = [one for one in record.tries.values() if one.left_at is None]
    served = sum(one.status == 200 for one in stayed)
    if served < SERVED_SHARE * len(stayed):
        found.append(Breach("served", f"{served} of {len(stayed)}"))
    return found


def _of_try(one, runs, record):
    name = one.id.decode()
    if not one.safe and len(runs) > 1:
        yield Breach("once", f"{name} ran {len(runs)} times")
    if not one.safe and one.status in PROMISES and runs:
        yield Breach("promise", f"{name} was answered {one.status} and ran")
    if one.status == 200 and one.body != one.id:
        yield Breach("own", f"{name} got {one.body!r}")
    for run in runs:
        if run.showed_key:
            yield Breach("key", f"{name} showed its machine a key")
        if one.key not in record.owners:
            yield Breach("key", f"{name} ran with a key of nobody")
        elif run.tenant not in record.owners[one.key]:
            yield Breach("tenant", f"{name} ran for {run.tenant!r}")
    if one.safe and one.left_at is not None and not _disturbed(one, record):
        yield from _gone(one, runs, record.observer_lag_s)


def _gone(one, runs, lag_s):
    for run in runs:
        after_s = (run.ended_at if run.ended_at is not None else float("inf")) - one.left_at
        if after_s > GONE_WITHIN_S + lag_s:
            yield Breach("gone", f"{one.id.decode()} via {one.proxy}: {after_s:.2f} s, lag {lag_s:.2f} s")


def _disturbed(one, record):
    begin, end = one.left_at - UNDISTURBED_S, one.left_at + UNDISTURBED_S
    return any(since < end and until > begin for since, until in record.disturbed[one.proxy])
