"""How often a proxy asks a controller. No clock, no chance of its own."""

POLL_S, TRIAL_POLL_S = 0.4, 0.2  # seconds between asks; while a version is on trial
POLLS_PER_S = 40  # at one controller; where there are more proxies they ask less often,
SPREAD_MOST = 2.0  # but not more than so many times less
JITTER = 0.1  # of a pause, by chance more or less


def poll_pause(on_trial, proxies, controllers, chance):
    """Seconds until the next ask, longer where many proxies ask few controllers; `chance` in [0, 1)."""
    pause_s = TRIAL_POLL_S if on_trial else POLL_S
    crowd = proxies / (POLLS_PER_S * controllers) / POLL_S
    return pause_s * min(SPREAD_MOST, max(1.0, crowd)) * (1 - JITTER + 2 * JITTER * chance)
