"""How often a proxy polls controllers."""

POLL_S, TRIAL_POLL_S = 0.4, 0.2  # between two polls, normally and while a version is on trial
MAX_POLLS_PER_S = 40  # at one controller; if the proxies would exceed it, each of them polls less often
MAX_SLOWDOWN = 2.0  # the largest factor by which intervals are lengthened for that
JITTER = 0.1  # the largest share of an interval that is added or subtracted at random


def poll_interval_s(on_trial: bool, proxies: int, controllers: int, random_fraction: float) -> float:
    """Returns the seconds until the next poll; `random_fraction` is a random number within [0, 1)."""
    interval_s = TRIAL_POLL_S if on_trial else POLL_S
    overload = proxies / (MAX_POLLS_PER_S * controllers) / POLL_S
    slowdown = min(MAX_SLOWDOWN, max(1.0, overload))
    return interval_s * slowdown * (1 - JITTER + 2 * JITTER * random_fraction)
