"""The final response to a request that no attempt has answered."""

from __future__ import annotations

from collections import Counter

from honeywood.gateway.proxy.client_response import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    RETRY_AFTER_S,
    UNAVAILABLE,
    ClientResponse,
    local_response,
    relayed_response,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.proxy.request_counters import RequestCounters
    from honeywood.gateway.routing.attempt_policy import AttemptPolicy
    from honeywood.gateway.routing.endpoint_table import EndpointTable
    from honeywood.gateway.routing.pending_request import PendingRequest
    from honeywood.gateway.rpc.reply import Reply

RESPONSE_MARGIN_S = 0.004  # before its client's deadline that a request is answered by the proxy
NOT_SELECTED = "left alone"  # nothing kept the request from the endpoint when it was looked at again
NONE_KNOWN = "none known"


class FailureResponses:
    """Chooses between 502, 503 and 504; only a request that has not run may get a 503."""

    def __init__(
        self,
        clock: Callable[[], float],
        endpoints: EndpointTable,
        policy: AttemptPolicy,
        counters: RequestCounters,
    ) -> None:
        """Of one proxy."""
        self.clock = clock
        self.endpoints = endpoints
        self.policy = policy
        self.counters = counters

    def is_due(self, request: PendingRequest) -> bool:
        """Whether a request must be answered now to reach its client in time."""
        return self.clock() >= request.deadline - RESPONSE_MARGIN_S

    def timed_out(self, request: PendingRequest) -> ClientResponse:
        """The response at the deadline.

        Finishes the request: nothing of it is sent any more, so a 503's promise that it has not run holds.
        """
        request.finished = True
        if request.may_have_run:
            return local_response(GATEWAY_TIMEOUT, "time is up")
        return local_response(UNAVAILABLE, "no machine in time", RETRY_AFTER_S)

    def no_endpoint(self, request: PendingRequest, failure: Reply | None) -> ClientResponse:
        """The response where no endpoint may be asked any more; `failure` is the last failed one, if any."""
        if request.disconnect.happened:
            return local_response(BAD_GATEWAY, "its client has left")  # which nobody reads
        if failure is not None:
            return relayed_response(failure)
        if self.is_due(request):
            return self.timed_out(request)
        if request.may_have_run:
            return local_response(BAD_GATEWAY, "no whole answer came")
        reason = self._commonest_rejection(request)
        self.counters.no_endpoint(request, reason)
        return local_response(UNAVAILABLE, f"no machine free: {reason}", RETRY_AFTER_S)

    def _commonest_rejection(self, request: PendingRequest) -> str:
        """What keeps the request from most of its service's endpoints."""
        now = self.clock()
        reasons = Counter(
            str(self.policy.rejection(now, request, endpoint) or NOT_SELECTED)
            for endpoint in self.endpoints.of(request.service)
        )
        return reasons.most_common(1)[0][0] if reasons else NONE_KNOWN
