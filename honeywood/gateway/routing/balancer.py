"""Which of a service's endpoints is asked: the least busy for its speed, those of the own zone first."""

COLD_FACTOR = 2.0  # an endpoint that has just started counts as so much slower
CROSSING_COST = 0.5  # another zone's endpoint must be less busy by this part of its slots: crossing costs
SAMPLE = 6  # endpoints compared, so that proxies that know the same don't all take the same


def cost(now, endpoint, zone):
    """How busy an endpoint would be with one request more, in its slots, weighed by its speed and zone."""
    busy = (endpoint.load(now) + 1) / endpoint.slots
    slowness = endpoint.slowness * (COLD_FACTOR if now < endpoint.warm_at else 1.0)
    return busy * slowness + (CROSSING_COST if endpoint.zone != zone else 0.0)


def choose(now, endpoints, zone, attempted, typical_s, random):
    """The endpoint to ask, or None. Those attempted before, avoided or unresponsive come only where no other
    is."""
    fit = [
        one
        for one in endpoints
        if now >= one.avoided_until and one not in attempted and not one.is_unresponsive(now, typical_s)
    ]
    if not fit:
        fit = [one for one in endpoints if one not in attempted] or list(endpoints)
    if not fit:
        return None
    if len(fit) > SAMPLE:
        fit = _sample(fit, zone, random)
    return min(fit, key=lambda one: (cost(now, one, zone), random.random()))


def _sample(endpoints, zone, random):
    """Some of the own zone and as many of others."""
    near = [one for one in endpoints if one.zone == zone]
    far = [one for one in endpoints if one.zone != zone]
    return random.sample(near, min(len(near), SAMPLE)) + random.sample(far, min(len(far), SAMPLE))
