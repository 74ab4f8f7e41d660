"""The proxy's status for operators: the log event `counts` and the metrics page."""

from __future__ import annotations

from honeywood.gateway.metrics import Metrics

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywood.gateway.proxy.program import Proxy


def events(proxy: Proxy) -> dict[str, int]:
    """Returns counts since the start, by name."""
    violations = proxy.invariants.violations
    return {
        **proxy.counters.counts,
        **proxy.traffic_policy.attempt_tally.counts,
        **{f"violated: {violation.value}": count for violation, count in violations.items()},
    }


def log_fields(proxy: Proxy) -> dict[str, Any]:
    """Returns the fields of the log event `counts`; docs/operate/system.md explains them."""
    endpoints = proxy.endpoints.by_id.values()
    return {
        **events(proxy),
        "dialled": proxy.pool.opened,
        "connections": sum(endpoint.connection_count for endpoint in endpoints),
        "machines": len(endpoints),
        "fronts": proxy.fleet.count(),
        "told": dict(proxy.publisher.sent_bytes),
        "called": dict(proxy.caller.bytes_by_path),
        "transfers abandoned": proxy.transfers.counts.abandoned,
        "characters wasted": proxy.transfers.counts.wasted_characters,
        "ready": proxy.ready,
    }


def metrics(proxy: Proxy) -> Metrics:
    """Returns the current metrics."""
    endpoints = proxy.endpoints.by_id.values()
    gauges = {
        "ready": proxy.ready,
        "config_version": proxy.configuration.version or 0,
        "connections": sum(endpoint.connection_count for endpoint in endpoints),
        "machines": len(endpoints),
        "proxies": proxy.fleet.count(),
        "open_requests": len(proxy.forwarder.open_requests),
        "open_attempts": sum(endpoint.in_flight for endpoint in endpoints),
        "connections_opened": proxy.pool.opened,
    }
    return Metrics(events(proxy), gauges)
