"""A short soak test: real processes under overlapping faults."""

from ward import each, test

from honeywood.lab.soak.soak import run_soak


@test("a short soak of seed {seed} violates no rule")
def _(seed=each(2, 62001, 64003)):
    outcome = run_soak(seed, 12.0)
    assert not outcome.violations, outcome.violations
    assert outcome.requests > 200
    assert outcome.served > 150
    assert outcome.disconnected
