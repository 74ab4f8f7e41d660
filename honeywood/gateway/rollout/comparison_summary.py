"""The counts and p-values behind a decision on a rollout, in the form in which they are logged."""

from __future__ import annotations

from honeywood.gateway.rollout.comparison import compare, pool

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from honeywood.gateway.rollout.comparison import VersionSample
    from honeywood.gateway.rollout.report import OutcomeCounts

P_VALUE_FORMAT = ".2g"


def summarize(outcome_counts: Iterable[OutcomeCounts], service: str, version: str) -> dict[str, Any]:
    """Return, by route, the counts of the new and of all other versions, and the p-value of each test."""
    pooled = pool(outcome_counts, service, version)
    summary: dict[str, Any] = {
        route: {"new": _counts(new), "earlier": _counts(pooled.established.get(route))}
        for route, new in pooled.new.items()
    }
    for route, sample in pooled.full_stage.items():
        bins = {"latencies": sample.answered, "unanswered": sample.unanswered}
        summary[route]["new, in the full stage"] = bins
    for result in compare(pooled):
        summary[result.route][f"p of {result.kind}"] = float(format(result.p_value, P_VALUE_FORMAT))
    return summary


def _counts(sample: VersionSample | None) -> dict[str, Any] | None:
    if sample is None:
        return None
    outcomes = sample.outcomes
    return {
        "ended": outcomes.ended,
        "failed": outcomes.failed,
        "latencies": outcomes.bins,
        "unanswered": sample.unanswered,
    }
