"""Counters of requests and attempts, by the names that appear in the log event `counts` and in /metrics.

docs/operate/system.md explains each name.
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
    """How far a request has come when its client disconnects. The values are parts of counter names."""

    WAITING = "before any attempt"
    AT_ENDPOINT = "at a machine"
    ATTEMPTED = "between attempts"


class RequestCounters:
    """Counts since the proxy's start, by name."""

    def __init__(self) -> None:
        """Starts with all counts at zero."""
        self.counts: Counter[str] = Counter()

    def request_finished(self, request: PendingRequest, status: int, now: float) -> None:
        """Counts a request that has its final response.

        It is not counted by status or latency if its client has disconnected.
        """
        self.counts["requests"] += 1
        if request.disconnect.happened:
            return
        if status < FIRST_FAILURE:
            late = now - request.received_at > request.route.latency_target_s
            self.counts["served late" if late else "served in time"] += 1
        self.counts["further sends"] += max(0, len(request.attempts) - 1)
        self.counts[f"answered {status}"] += 1

    def not_forwarded(self, reason: str) -> None:
        """Counts a request that was rejected before an endpoint was selected."""
        self.counts[f"not forwarded: {reason}"] += 1

    def no_endpoint(self, request: PendingRequest, reason: str) -> None:
        """Counts a request for which no endpoint was eligible."""
        self.counts[f"no machine: {reason}"] += 1
        self.counts[f"no machine, priority {request.priority}"] += 1

    def client_left(self, request: PendingRequest, progress: RequestProgress) -> None:
        """Counts an unfinished request whose client has disconnected."""
        self.counts[f"client left: {request.route.kind} {progress}"] += 1

    def attempt_abandoned(self) -> None:
        """Counts an attempt that was ended because its client had disconnected."""
        self.counts["attempts abandoned"] += 1

    def attempt_outlived_client(self, request: PendingRequest, duration_s: float) -> None:
        """Counts an attempt that ended `duration_s` after its client had disconnected."""
        kind = request.route.kind
        self.counts[f"{kind} attempts ended after their client"] += 1
        self.counts[f"{kind} ms after their client"] += int(MS_PER_S * duration_s)

    def attempt_not_run(self, reason: str) -> None:
        """Counts an attempt that counts as not run: its request may be attempted again or rejected."""
        self.counts[f"attempts not run: {reason}"] += 1

    def surplus_response(self) -> None:
        """Counts a response to another request that arrived while an attempt was in flight."""
        self.counts["surplus answers"] += 1

    def attempt_after_surplus_ended(self, answered: bool) -> None:
        """Counts an attempt that read past surplus responses, if it got the response to its request."""
        self.counts["answers after a surplus one"] += answered
