"""How often a proxy polls controllers."""

POLL_S, TRIAL_POLL_S = 0.4, 0.2  # between polls; while a version is on trial
MAX_POLLS_PER_S = 40  # at one controller; more proxies than that allows poll less often,
MAX_SLOWDOWN = 2.0  # but at most by this factor
JITTER = 0.1  # of an interval, added or taken off at random


def poll_interval_s(on_trial: bool, proxies: int, controllers: int, draw: float) -> float:
    """Seconds until the next poll; `draw` is a random number within [0, 1)."""
    interval_s = TRIAL_POLL_S if on_trial else POLL_S
    crowding = proxies / (MAX_POLLS_PER_S * controllers) / POLL_S
    slowdown = min(MAX_SLOWDOWN, max(1.0, crowding))
    return interval_s * slowdown * (1 - JITTER + 2 * JITTER * draw)
