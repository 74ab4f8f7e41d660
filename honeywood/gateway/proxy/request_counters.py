"""Counters of requests and attempts, under the names that the log's `counts` and /metrics show.

docs/operate/system.md explains each name to operators.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from honeywood.gateway.routing.outcomes import FIRST_FAILURE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.routing.pending_request import PendingRequest

MS_PER_S = 1000


class RequestProgress(StrEnum):
    """How far a request has come when its client leaves."""

    WAITING = "before any attempt"
    AT_ENDPOINT = "at a machine"
    ATTEMPTED = "between attempts"


class RequestCounters:
    """Sums since the proxy's start, by name."""

    def __init__(self) -> None:
        """All are zero."""
        self.counts: Counter[str] = Counter()

    def request_finished(self, request: PendingRequest, status: int, now: float) -> None:
        """A request has its final response; it isn't counted by status where nobody waits for it."""
        self.counts["requests"] += 1
        if request.disconnect.happened:
            return
        if status < FIRST_FAILURE:
            late = now - request.received_at > request.route.latency_target_s
            self.counts["served late" if late else "served in time"] += 1
        self.counts["further sends"] += max(0, len(request.attempts) - 1)
        self.counts[f"answered {status}"] += 1

    def not_forwarded(self, reason: str) -> None:
        """A request was rejected before an endpoint was chosen."""
        self.counts[f"not forwarded: {reason}"] += 1

    def no_endpoint(self, request: PendingRequest, reason: str) -> None:
        """No endpoint could take a request."""
        self.counts[f"no machine: {reason}"] += 1
        self.counts[f"no machine, priority {request.priority}"] += 1

    def client_left(self, request: PendingRequest, progress: RequestProgress) -> None:
        """The client of an unfinished request has left."""
        self.counts[f"client left: {request.route.kind} {progress}"] += 1

    def attempt_abandoned(self) -> None:
        """An attempt was ended since its client has left."""
        self.counts["attempts abandoned"] += 1

    def attempt_outlived_client(self, request: PendingRequest, for_s: float) -> None:
        """An attempt ended `for_s` after its client had left."""
        kind = request.route.kind
        self.counts[f"{kind} attempts ended after their client"] += 1
        self.counts[f"{kind} ms after their client"] += int(MS_PER_S * for_s)

    def surplus_response(self) -> None:
        """A response to another request came while one was in flight."""
        self.counts["surplus answers"] += 1

    def attempt_after_surplus_ended(self, answered: bool) -> None:
        """An attempt that read past surplus responses has ended, with its own response or without."""
        self.counts["answers after a surplus one"] += answered
