"""Least-loaded endpoint selection, weighted by speed, with a preference for the proxy's own zone."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from honeywood.gateway.routing.endpoint import Endpoint

SLOW_START_PENALTY = 2.0  # factor on the cost of an endpoint in slow start
CROSS_ZONE_COST = 0.5  # fraction of its slots by which an endpoint of another zone must be less busy
# Endpoints compared per zone. Proxies that know the same loads would otherwise all choose the same endpoint.
SAMPLE_SIZE = 6


def cost(now: float, endpoint: Endpoint, zone: str) -> float:
    """The load per slot with one more request, weighted by latency and zone; the lowest cost is best."""
    utilization = (endpoint.load(now) + 1) / endpoint.slots
    penalty = SLOW_START_PENALTY if now < endpoint.warm_at else 1.0
    zone_cost = CROSS_ZONE_COST if endpoint.zone != zone else 0.0
    return utilization * endpoint.relative_latency * penalty + zone_cost


def choose_endpoint(
    now: float,
    endpoints: Collection[Endpoint],
    zone: str,
    attempted: Collection[Endpoint],
    typical_latency_s: float,
    random: Random,
) -> Endpoint | None:
    """The endpoint to send a request to, or None if `endpoints` is empty.

    Endpoints that were attempted before, are ejected or unresponsive are chosen only if no other is left.
    """
    candidates = _candidates(now, endpoints, attempted, typical_latency_s)
    if not candidates:
        return None
    if len(candidates) > SAMPLE_SIZE:
        candidates = _sample(candidates, zone, random)
    return min(candidates, key=lambda endpoint: (cost(now, endpoint, zone), random.random()))


def _candidates(
    now: float, endpoints: Collection[Endpoint], attempted: Collection[Endpoint], typical_latency_s: float
) -> list[Endpoint]:
    """The healthy endpoints; if there are none, those not attempted before; if there are none either, all."""
    healthy = [
        endpoint
        for endpoint in endpoints
        if now >= endpoint.ejected_until
        and endpoint not in attempted
        and not endpoint.is_unresponsive(now, typical_latency_s)
    ]
    return healthy or [endpoint for endpoint in endpoints if endpoint not in attempted] or list(endpoints)


def _sample(endpoints: Sequence[Endpoint], zone: str, random: Random) -> list[Endpoint]:
    """Up to SAMPLE_SIZE random endpoints of the local zone, and as many of all other zones."""
    local = [endpoint for endpoint in endpoints if endpoint.zone == zone]
    remote = [endpoint for endpoint in endpoints if endpoint.zone != zone]
    local_sample = random.sample(local, min(len(local), SAMPLE_SIZE))
    return local_sample + random.sample(remote, min(len(remote), SAMPLE_SIZE))
