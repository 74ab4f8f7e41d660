"""What a proxy tells controllers of rollouts, and its encoding. Pure.

Told as {"rows": [[svc, class, version, failed, ended, bins]], "votes": {svc: [n, vote]}, "left": {svc: [n,
pending]}, "known": {svc: [n, seconds]}}; votes and times of rollouts under way alone.
"""

from dataclasses import dataclass

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidMessage

STEP = "count"


@dataclass(frozen=True, slots=True)
class Tally:
    """How requests of one class (a route) ended at one version: `bins` are those that got an answer, by time
    (honeywood/release_analysis/outcome_statistics.py)."""

    service: str
    route: str
    version: str
    failed: float
    ended: float
    bins: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Ballot:
    """A proxy's word on one revision of a service's rollout. `pending` counts what is still out at machines
    that the stage leaves, and what keeps the proxy from leaving them; `known_s` is for how long it has known
    the revision, None once the rollout has ended; `vote` is verdict.ON, verdict.BACK or None."""

    revision: int
    pending: int
    vote: str | None = None
    known_s: float | None = None


@dataclass(frozen=True, slots=True)
class Report:
    """All tallies of a proxy, and its ballots by service."""

    tallies: tuple[Tally, ...] = ()
    ballots: dict[str, Ballot] | None = None

    def ballot(self, service):
        """The ballot on a service's rollout, or None."""
        return (self.ballots or {}).get(service)


def encode(report):
    """The form told."""
    ballots = report.ballots or {}
    active = {service: one for service, one in ballots.items() if one.known_s is not None}
    return {
        "rows": [[t.service, t.route, t.version, t.failed, t.ended, list(t.bins)] for t in report.tallies],
        "votes": {service: [one.revision, one.vote] for service, one in active.items()},
        "left": {service: [one.revision, one.pending] for service, one in ballots.items()},
        "known": {service: [one.revision, one.known_s] for service, one in active.items()},
    }


def decode(value, peer=""):
    """The Report of a form told; errors.InvalidMessage names the field and the peer that told it."""
    rows = need(value, "rows", list, STEP, peer=peer)
    votes, pending, known = (need(value, key, dict, STEP, peer=peer) for key in ("votes", "left", "known"))
    if any(len(row) != 6 for row in rows):
        raise InvalidMessage(STEP, "rows must have 6 items", peer)
    ballots = {}
    for service in {**pending, **known}:
        revision, count = pending.get(service) or (known[service][0], 0)
        _, vote = votes.get(service, (revision, None))
        _, seconds = known.get(service, (revision, None))
        ballots[service] = Ballot(revision, count, vote, seconds)
    return Report(tuple(Tally(*row[:5], tuple(row[5])) for row in rows), ballots)
