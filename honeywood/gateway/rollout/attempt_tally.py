"""Counters, for operators, of how attempts at versions under rollout ended at one proxy.

docs/operate/system.md explains the names. Decisions use outcome_counters.py, which leaves out attempts that
did not run.
"""

from __future__ import annotations

from collections import Counter

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.outcomes import AttemptOutcome


class AttemptTally:
    """Counts since the proxy's start, by name, of attempts at services with an active rollout."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        """Create a tally with all counts at zero."""
        self.counts: Counter[str] = Counter()

    def sent(self, rollout: Rollout, endpoint: Endpoint) -> None:
        """Count an attempt that starts."""
        self.counts[f"{_version_label(rollout, endpoint)} attempts sent"] += 1

    def ended(self, rollout: Rollout, endpoint: Endpoint, outcome: AttemptOutcome, is_compared: bool) -> None:
        """Count an attempt that has ended; `is_compared` says whether the versions' comparison uses it."""
        label = _version_label(rollout, endpoint)
        self.counts[f"{label} attempts ended: {outcome}"] += 1
        self.counts[f"{label} attempts compared"] += is_compared


def _version_label(rollout: Rollout, endpoint: Endpoint) -> str:
    return "new version's" if endpoint.version == rollout.version else "earlier version's"
