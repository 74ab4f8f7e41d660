"""Backoff: delays grow, have jitter, and end with a response."""

import random

from ward import test

from honeywood.gateway.dissemination.backoff import INITIAL_DELAY_S, Backoff


@test("delays grow with each failure up to a maximum, differ by jitter, and end with a response")
def _():
    backoff, delays_s = Backoff(random.Random(1), 1.0), []
    for _ in range(8):
        backoff.record_failure("p", 0.0)
        delays_s.append(backoff.remaining_s("p", 0.0))
    assert all(min(1.0, INITIAL_DELAY_S * 2**n) / 2 <= delay_s <= 1.0 for n, delay_s in enumerate(delays_s))
    assert len({round(delay_s, 6) for delay_s in delays_s[5:]}) == 3
    assert backoff.available(["p", "q"], 0.0) == ["q"] and backoff.available(["p"], 0.0) == ["p"]
    backoff.record_success("p")
    assert backoff.available(["p", "q"], 0.0) == ["p", "q"]
