"""The rate of attempts of each route at a version on trial."""

from ward import test

from honeywood.gateway.rollout.trial_credit import MAX_CREDIT, TrialCredit


@test("requests earn their route's attempts, an attempt costs one, and little is saved up")
def _():
    credit = TrialCredit(0.25)
    for _ in range(3):
        credit.earn("s", "r")
    assert not credit.covers_attempt("s", "r")
    credit.earn("s", "r")
    assert credit.covers_attempt("s", "r") and not credit.covers_attempt("s", "other")
    for _ in range(100):
        credit.earn("s", "r")
    assert 1 < MAX_CREDIT < 2
    credit.spend("s", "r")
    assert not credit.covers_attempt("s", "r")


@test("an order drops the credits of its service alone")
def _():
    credit = TrialCredit(1.0)
    for service in ("s", "t"):
        credit.earn(service, "r")
    credit.reset("s")
    assert not credit.covers_attempt("s", "r") and credit.covers_attempt("t", "r")
