"""A stall is seen by the time between two ticks, and remembered for a while."""

import asyncio

from ward import test

from honeywood.gateway.controller.stall_detector import RECOVERY_S, STALL_THRESHOLD_S, StallDetector
from honeywood.lab.emulator.silent_log import SilentLog


@test("a gap between ticks is a stall, before its end is noticed and for a while after")
def _():
    now = [10.0]
    stalls = StallDetector(lambda: now[0], SilentLog())
    assert not stalls.resumed_recently
    now[0] += STALL_THRESHOLD_S + 0.1
    assert stalls.resumed_recently
    asyncio.run(stalls.tick())
    assert stalls.resumed_recently
    for _ in range(11):
        now[0] += RECOVERY_S / 10
        asyncio.run(stalls.tick())
    assert not stalls.resumed_recently
