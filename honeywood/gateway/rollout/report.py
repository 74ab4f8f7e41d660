"""A proxy's report on rollouts to controllers, and the codec of its message.

A report is {"rows": [[service, route, version, failed, ended, latency bins]], "votes": {service: [revision,
vote]}, "left": {service: [revision, pending]}, "known": {service: [revision, seconds]}, "unanswered":
[[service, route, version, latency bins]], "full": [[service, route, version, answered bins, unanswered
bins]]}. "votes" and "known" contain active rollouts only. "unanswered" and "full" are omitted if they would
be empty, as in the reports of earlier releases.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidMessage

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

OPERATION = "count"  # names the operation in errors
ROW_ITEMS = 6
UNANSWERED_ROW_ITEMS = 4
FULL_STAGE_ROW_ITEMS = 5

RowKey = tuple[str, str, str]  # service, route and version


class Vote(StrEnum):
    """A proxy's vote on a version, based on its own counts; the values are used in the message."""

    PROMOTE = "on"
    REVERT = "back"


@dataclass(frozen=True, slots=True)
class FullStageCounts:
    """Latency bins of those attempts that were sent at a new version since it last got all traffic.

    `answered_bins` has the attempts that ended, `unanswered_bins` those that were abandoned or are in flight,
    by the time for which they were waited for. Latencies are reduced as on trial. Both are empty if there are
    no such attempts.
    """

    answered_bins: tuple[float, ...] = ()
    unanswered_bins: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """How the attempts of one route's requests at one version ended.

    `latency_bins` has the number of ended attempts in each latency bin of
    release_analysis/outcome_statistics.py. `unanswered_bins` has the attempts that were abandoned or are in
    flight, by the time for which they were waited for; these are not in `ended`. It is empty if there are
    none. `full_stage` has the part of these attempts that was sent in the full stage; it is None if the
    version hasn't reached that stage, and in reports of earlier releases.
    """

    service: str
    route: str
    version: str
    failed: float
    ended: float
    latency_bins: tuple[float, ...]
    unanswered_bins: tuple[float, ...] = ()
    full_stage: FullStageCounts | None = None


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """A proxy's status in one revision of a service's rollout.

    `pending` is the number of attempts in flight at endpoints whose version gets no more traffic, plus one
    while the proxy may still need those endpoints. `revision_age_s` is the time since the proxy received the
    revision, or None once the rollout has ended. `vote` is None while the proxy is undecided.
    """

    revision: int
    pending: int
    vote: Vote | None = None
    revision_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class ProxyReport:
    """All outcome counts of a proxy, and its status in each rollout, by service."""

    outcome_counts: tuple[OutcomeCounts, ...] = ()
    statuses: dict[str, RolloutStatus] | None = None

    def status(self, service: str) -> RolloutStatus | None:
        """Return the status in the rollout of a service, or None if the proxy knows no such rollout."""
        return (self.statuses or {}).get(service)


def encode(report: ProxyReport) -> dict[str, Any]:
    """Return the message of a report."""
    statuses = report.statuses or {}
    active = {service: one for service, one in statuses.items() if one.revision_age_s is not None}
    message: dict[str, Any] = {
        "rows": [_encode_counts(one) for one in report.outcome_counts],
        "votes": {service: [one.revision, one.vote and one.vote.value] for service, one in active.items()},
        "left": {service: [one.revision, one.pending] for service, one in statuses.items()},
        "known": {service: [one.revision, one.revision_age_s] for service, one in active.items()},
    }
    unanswered = [_encode_unanswered(one) for one in report.outcome_counts if one.unanswered_bins]
    if unanswered:
        message["unanswered"] = unanswered
    full_stage = [
        _encode_full_stage(one, one.full_stage) for one in report.outcome_counts if one.full_stage is not None
    ]
    if full_stage:
        message["full"] = full_stage
    return message


def _encode_counts(counts: OutcomeCounts) -> list[Any]:
    return [
        counts.service,
        counts.route,
        counts.version,
        counts.failed,
        counts.ended,
        list(counts.latency_bins),
    ]


def _encode_unanswered(counts: OutcomeCounts) -> list[Any]:
    return [counts.service, counts.route, counts.version, list(counts.unanswered_bins)]


def _encode_full_stage(counts: OutcomeCounts, full_stage: FullStageCounts) -> list[Any]:
    bins = list(full_stage.answered_bins), list(full_stage.unanswered_bins)
    return [counts.service, counts.route, counts.version, *bins]


def decode(value: dict[str, Any], peer: str = "") -> ProxyReport:
    """Return the report of a message that was received from `peer`.

    Raises:
        InvalidMessage: A field is missing or invalid; the error names it.
    """
    rows = need(value, "rows", list, OPERATION, peer=peer)
    votes, pending, ages = (
        need(value, key, dict, OPERATION, peer=peer) for key in ("votes", "left", "known")
    )
    if any(len(row) != ROW_ITEMS for row in rows):
        raise InvalidMessage(OPERATION, f"rows must have {ROW_ITEMS} items", peer)
    unanswered, full_stage = _decode_unanswered(value, peer), _decode_full_stage(value, peer)
    statuses = {
        service: _decode_status(votes.get(service), pending.get(service), ages.get(service))
        for service in {**pending, **ages}
    }
    return ProxyReport(tuple(_decode_counts(row, unanswered, full_stage) for row in rows), statuses)


def _decode_unanswered(value: dict[str, Any], peer: str) -> dict[RowKey, tuple[float, ...]]:
    """Return the bins of unanswered attempts by service, route and version."""
    if "unanswered" not in value:
        return {}
    rows = need(value, "unanswered", list, OPERATION, peer=peer)
    if any(len(row) != UNANSWERED_ROW_ITEMS for row in rows):
        raise InvalidMessage(OPERATION, f"rows of unanswered must have {UNANSWERED_ROW_ITEMS} items", peer)
    return {(service, route, version): tuple(bins) for service, route, version, bins in rows}


def _decode_full_stage(value: dict[str, Any], peer: str) -> dict[RowKey, FullStageCounts]:
    """Return the counts of the full stage by service, route and version."""
    if "full" not in value:
        return {}
    rows = need(value, "full", list, OPERATION, peer=peer)
    if any(len(row) != FULL_STAGE_ROW_ITEMS for row in rows):
        raise InvalidMessage(OPERATION, f"rows of full must have {FULL_STAGE_ROW_ITEMS} items", peer)
    return {
        (service, route, version): FullStageCounts(tuple(answered_bins), tuple(unanswered_bins))
        for service, route, version, answered_bins, unanswered_bins in rows
    }


def _decode_counts(
    row: list[Any], unanswered: dict[RowKey, tuple[float, ...]], full_stage: dict[RowKey, FullStageCounts]
) -> OutcomeCounts:
    service, route, version, failed, ended, latency_bins = row
    key = service, route, version
    bins = tuple(latency_bins), unanswered.get(key, ())
    return OutcomeCounts(*key, failed, ended, *bins, full_stage.get(key))


def _decode_status(vote: list[Any] | None, pending: list[Any] | None, age: list[Any] | None) -> RolloutStatus:
    """Return the status made of its parts, of which `pending` or `age` must not be None."""
    age_revision, revision_age_s = age if age is not None else (0, None)
    revision, count = pending or (age_revision, 0)
    _, choice = vote if vote is not None else (revision, None)
    return RolloutStatus(revision, count, _decode_vote(choice), revision_age_s)


def _decode_vote(text: object) -> Vote | None:
    """Return the vote of a message; an unknown vote becomes None and neither promotes nor reverts."""
    return next((vote for vote in Vote if vote == text), None)
