"""The limit on the rate of each route's attempts at a version on trial."""

from ward import test

from honeywood.gateway.rollout.trial_credit import MAX_CREDIT, TrialCredit


@test("requests earn attempts for their route, an attempt costs one, and the credit is capped")
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


@test("a reset drops the credits of one service only")
def _():
    credit = TrialCredit(1.0)
    for service in ("s", "t"):
        credit.earn(service, "r")
    credit.reset("s")
    assert not credit.covers_attempt("s", "r") and credit.covers_attempt("t", "r")
