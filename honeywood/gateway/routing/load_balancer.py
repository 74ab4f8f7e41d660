"""Least-loaded endpoint selection, weighted by speed, with a preference for the proxy's own zone."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from honeywood.gateway.routing.endpoint import Endpoint

SLOW_START_PENALTY = 2.0  # an endpoint in slow start counts as so many times slower
CROSS_ZONE_COST = 0.5  # an endpoint of another zone must be less busy by this fraction of its slots
SAMPLE_SIZE = 6  # endpoints compared per zone: proxies that know the same must not all choose the same


def cost(now: float, endpoint: Endpoint, zone: str) -> float:
    """The load of an endpoint with one request more, in its slots, weighted by its speed and zone."""
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
    """The endpoint to send a request to, or None where there is none.

    Endpoints that were attempted before, are ejected or unresponsive are used only where no other is left.
    """
    candidates = _candidates(now, endpoints, attempted, typical_latency_s)
    if not candidates:
        return None
    if len(candidates) > SAMPLE_SIZE:
        candidates = _sample(candidates, zone, random)
    return min(candidates, key=lambda one: (cost(now, one, zone), random.random()))


def _candidates(
    now: float, endpoints: Collection[Endpoint], attempted: Collection[Endpoint], typical_latency_s: float
) -> list[Endpoint]:
    """The healthy endpoints; failing these those not attempted; failing these all."""
    healthy = [
        one
        for one in endpoints
        if now >= one.ejected_until
        and one not in attempted
        and not one.is_unresponsive(now, typical_latency_s)
    ]
    return healthy or [one for one in endpoints if one not in attempted] or list(endpoints)


def _sample(endpoints: Sequence[Endpoint], zone: str, random: Random) -> list[Endpoint]:
    """Random endpoints of the own zone and as many of others."""
    near = [one for one in endpoints if one.zone == zone]
    far = [one for one in endpoints if one.zone != zone]
    near_sample = random.sample(near, min(len(near), SAMPLE_SIZE))
    return near_sample + random.sample(far, min(len(far), SAMPLE_SIZE))
