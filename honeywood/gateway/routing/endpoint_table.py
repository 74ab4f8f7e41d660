"""All endpoints known to a proxy, kept up to date from machine records."""

from __future__ import annotations

from honeywood.gateway.routing.endpoint import Endpoint
from honeywood.gateway.routing.endpoint_state import EndpointState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.gateway.routing.endpoint_record import EndpointRecord

TYPICAL_LATENCY_STEP = 0.02  # weight of one response in a service's exponential moving average


class EndpointTable:
    """Endpoints by id and by service, with the typical latency and connection limit of each service."""

    def __init__(self) -> None:
        """A table without endpoints."""
        self.by_id: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.typical_latencies_s: dict[str, float] = {}
        self.max_connections: dict[str, int] = {}  # per endpoint of a service, from all proxies together

    def of(self, service: str) -> Sequence[Endpoint]:
        """The endpoints of a service."""
        return self.by_service.get(service, ())

    def typical_latency(self, service: str, default: float = 1.0) -> float:
        """The typical seconds until a complete response of a service, or `default` before the first one."""
        return self.typical_latencies_s.get(service, default)

    def update(self, now: float, id: str, record: EndpointRecord) -> Endpoint | None:
        """Applies a machine's newest record; returns the endpoint if the record takes it out of service."""
        if record.has_ended:
            return self._remove(id, record.state)
        endpoint = self.by_id.get(id) or self._add(now, id, record.service)
        was_ready = endpoint.state is EndpointState.READY
        endpoint.apply(now, record)
        return endpoint if was_ready and endpoint.state is not EndpointState.READY else None

    def _add(self, now: float, id: str, service: str) -> Endpoint:
        endpoint = self.by_id[id] = Endpoint(id, service, now)
        self.by_service.setdefault(service, []).append(endpoint)
        return endpoint

    def _remove(self, id: str, state: EndpointState) -> Endpoint | None:
        endpoint = self.by_id.pop(id, None)
        if endpoint is not None:
            self.by_service[endpoint.service].remove(endpoint)
            endpoint.state = state
        return endpoint

    def record_abandoned(self, now: float, endpoint: Endpoint, waited_s: float) -> None:
        """Records that an attempt was abandoned after `waited_s` seconds without a response.

        Its latency would have been longer than that, so `waited_s` counts as a latency if it exceeds the
        endpoint's average. Otherwise an endpoint that becomes slower would not be detected while all its
        clients leave before its responses.
        """
        typical_s = self.typical_latencies_s.get(endpoint.service)
        if typical_s is not None and waited_s > typical_s * endpoint.relative_latency:
            endpoint.record_latency(now, waited_s, typical_s)

    def record_latency(self, now: float, endpoint: Endpoint, latency_s: float) -> None:
        """Adds the latency of a complete response to the averages of the service and the endpoint."""
        typical_s = self.typical_latencies_s.get(endpoint.service, latency_s)
        step_s = (latency_s - typical_s) * TYPICAL_LATENCY_STEP
        self.typical_latencies_s[endpoint.service] = typical_s + step_s
        endpoint.record_latency(now, latency_s, typical_s)
