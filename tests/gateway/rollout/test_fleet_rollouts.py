"""Rollouts over a fleet of proxies, by seeded outcomes: bad versions are reverted, good ones are done."""

from rollout_fleet import Fleet, errors, good, late, one_class, slow, under_load, when_full
from ward import each, test

from honeywood.gateway.rollout.record import RolloutState

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
PACES = (1 / 0.7, 1.0, 1.0, 1 / 1.5)  # of a service's machines, as they differ in speed


@test("a version with {bad.__name__} is reverted in time and within its share")
def _(bad=each(errors, slow, late, one_class, under_load)):
    for seed in range(6):
        fleet = Fleet(bad, seed, classes=3).run()
        assert fleet.record.state == REVERTED, f"seed {seed}: {fleet.record}"
        assert fleet.trial <= 0.1 * fleet.total + 50, f"seed {seed}: {fleet.trial} of {fleet.total}"
        assert fleet.fiftieth is None or fleet.last_trial - fleet.fiftieth < 4.0, f"seed {seed}"


@test("one that turns bad when all traffic goes to it loses that with the first rejection")
def _():
    for seed in range(6):
        fleet = Fleet(when_full, seed, classes=3).run()
        assert fleet.record.state == REVERTED, f"seed {seed}: {fleet.record}"
        assert fleet.trial <= 0.1 * 14.0 * fleet.rate + 50, f"seed {seed}: {fleet.trial}"


@test("a good version is done before its time is over, at {per_s} requests a second")
def _(per_s=each(20.0, 400.0)):
    for seed in range(8):
        fleet = Fleet(good, seed, per_s=per_s, classes=3).run()
        assert fleet.record.state == DONE, f"seed {seed}: {fleet.record}"
        assert fleet.end < 13.0


@test("a good version whose machines start with its order is done by its term, at {per_s} requests a second")
def _(per_s=each(10.0, 30.0, 30.0, 100.0, 400.0), over_s=each(12.0, 6.0, 12.0, 6.0, 12.0)):
    for seed in range(8):
        fleet = Fleet(good, seed, fronts=4, per_s=per_s, over_s=over_s, warm_s=0.0, lag=0.2).run()
        assert fleet.record.state == DONE, f"seed {seed}: {fleet.record}"
        assert fleet.end <= over_s, f"seed {seed}: {fleet.end}"


@test("a good version on trial at the slow machines of its service, shifted by {shift}, is done")
def _(shift=each(0, 1, 2, 3)):
    # Found by own days: few machines are on trial, and where these were the slow ones of a service whose
    # machines differ in speed, a good version went back for its slow answers.
    for seed in range(6):
        fleet = Fleet(good, seed, classes=2, paces=PACES[shift:] + PACES[:shift]).run()
        assert fleet.record.state == DONE, f"seed {seed}: {fleet.record}"


@test("a version with {bad.__name__} on machines of differing speed is reverted, whichever are tried")
def _(bad=each(errors, slow, under_load)):
    for seed in range(12):
        shift = seed % 4
        fleet = Fleet(bad, seed, classes=3, paces=PACES[shift:] + PACES[:shift]).run()
        assert fleet.record.state == REVERTED, f"seed {seed}: {fleet.record}"
        assert fleet.trial <= 0.1 * fleet.total + 50, f"seed {seed}: {fleet.trial} of {fleet.total}"
