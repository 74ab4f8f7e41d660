"""Limits on idle time that are learned from connections that break."""

from math import inf

from ward import each, test

from honeywood.gateway.proxy.idle_limits import LIMIT_VALID_S, SAFETY_FACTOR, IdleLimits


@test("a connection idle for {idle_s} s that broke {elapsed_s} s after a request sets a limit: {learned}")
def _(
    idle_s=each(0.4, 0.4, 0.05),
    elapsed_s=each(0.001, 0.02, 0.001),
    learned=each(True, False, False),
):
    limits = IdleLimits()
    limits.record_break(1.0, "s", idle_s, elapsed_s)
    assert limits.limit_s(1.0, "s") == (idle_s * SAFETY_FACTOR if learned else inf)
    assert limits.limit_s(1.0, "other") == inf


@test("the lowest limit applies until it expires")
def _():
    limits = IdleLimits()
    limits.record_break(1.0, "s", 0.4, 0.001)
    limits.record_break(2.0, "s", 4.0, 0.001)
    assert limits.limit_s(2.0, "s") == 0.4 * SAFETY_FACTOR
    assert limits.limit_s(2.0 + LIMIT_VALID_S, "s") == inf
