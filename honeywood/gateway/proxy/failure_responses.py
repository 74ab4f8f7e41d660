"""The final response to a request for which no attempt got a response to relay."""

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

RESPONSE_MARGIN_S = 0.004  # before a request's deadline; the proxy itself responds then
NOT_SELECTED = "left alone"  # for an endpoint that is no longer rejected when the reasons are collected
NONE_KNOWN = "none known"


class FailureResponses:
    """Chooses between 502, 503 and 504; only a request that has not run gets a 503."""

    def __init__(
        self,
        clock: Callable[[], float],
        endpoints: EndpointTable,
        policy: AttemptPolicy,
        counters: RequestCounters,
    ) -> None:
        """Builds the responses of one proxy."""
        self.clock = clock
        self.endpoints = endpoints
        self.policy = policy
        self.counters = counters

    def is_due(self, request: PendingRequest) -> bool:
        """Returns whether a request must be answered now for the response to arrive in time."""
        return self.clock() >= request.deadline - RESPONSE_MARGIN_S

    def timed_out(self, request: PendingRequest) -> ClientResponse:
        """Returns the response at the deadline.

        Marks the request as finished, so that no further attempt is sent: a 503 promises the client that the
        request has not run.
        """
        request.finished = True
        if request.may_have_run:
            return local_response(GATEWAY_TIMEOUT, "time is up")
        return local_response(UNAVAILABLE, "no machine in time", RETRY_AFTER_S)

    def no_endpoint(self, request: PendingRequest, failure: Reply | None) -> ClientResponse:
        """Returns the response if no endpoint may be tried any more; `failure` is the last failed reply."""
        if request.disconnect.happened:
            return local_response(BAD_GATEWAY, "its client has left")  # nobody reads this response
        if failure is not None:
            return relayed_response(failure)
        if self.is_due(request):
            return self.timed_out(request)
        if request.may_have_run:
            return local_response(BAD_GATEWAY, "no whole answer came")
        reason = self._most_common_rejection(request)
        self.counters.no_endpoint(request, reason)
        return local_response(UNAVAILABLE, f"no machine free: {reason}", RETRY_AFTER_S)

    def _most_common_rejection(self, request: PendingRequest) -> str:
        """Returns the reason for which most endpoints of the service reject the request."""
        now = self.clock()
        reasons = Counter(
            str(self.policy.rejection(now, request, endpoint) or NOT_SELECTED)
            for endpoint in self.endpoints.of(request.service)
        )
        return reasons.most_common(1)[0][0] if reasons else NONE_KNOWN
