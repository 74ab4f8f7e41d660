"""Backoff: delays that grow, with jitter, and end with an answer."""

import random

from ward import test

from honeywood.gateway.dissemination.backoff import INITIAL_DELAY_S, Backoff


@test("delays grow to their bound with each failure, differ by jitter, and end with a response")
def _():
    backoff, lengths = Backoff(random.Random(1), 1.0), []
    for _ in range(8):
        backoff.record_failure("p", 0.0)
        lengths.append(backoff.remaining_s("p", 0.0))
    assert all(min(1.0, INITIAL_DELAY_S * 2**n) / 2 <= length <= 1.0 for n, length in enumerate(lengths))
    assert len({round(length, 6) for length in lengths[5:]}) == 3
    assert backoff.available(["p", "q"], 0.0) == ["q"] and backoff.available(["p"], 0.0) == ["p"]
    backoff.record_success("p")
    assert backoff.available(["p", "q"], 0.0) == ["p", "q"]
