"""A stall is detected by the time between two ticks and reported until RECOVERY_S after its end."""

import asyncio

from ward import test

from honeywood.gateway.controller.stall_detector import RECOVERY_S, STALL_THRESHOLD_S, StallDetector
from honeywood.lab.emulator.silent_log import SilentLog


@test("a gap between ticks counts as a stall, before the next tick and for a while after it")
def _():
    now = [10.0]
    detector = StallDetector(lambda: now[0], SilentLog())
    assert not detector.resumed_recently
    now[0] += STALL_THRESHOLD_S + 0.1
    assert detector.resumed_recently
    asyncio.run(detector.tick())
    assert detector.resumed_recently
    for _ in range(11):
        now[0] += RECOVERY_S / 10
        asyncio.run(detector.tick())
    assert not detector.resumed_recently
