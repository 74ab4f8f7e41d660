"""Emulated days violate no rule and are reproducible."""

import os
import subprocess
import sys

from ward import each, test

from honeywood.lab.emulator.day import Day
from honeywood.lab.emulator.emulated_day import EmulatedDay, play
from honeywood.lab.emulator.faults.draw import draw_day
from honeywood.lab.emulator.faults.fault import Fault, FaultKind
from honeywood.lab.emulator.faults.membership import PlannedEnd, planned_end


def fault(kind, at_s=1.0, duration_s=3.0, target=0.5, variant=0.4):
    return Fault(kind, at_s, duration_s, target, variant)


@test("twelve days with randomly drawn faults violate no rule")
def _():
    for seed in range(12):
        outcome = play(draw_day(Day(seed)))
        assert not outcome.violations, f"seed {seed}: {outcome.violations}"
        assert outcome.worth > 0.8 * outcome.requests > 200


@test("a controller is replaced, and sync_s later another one loses its disk or is replaced as well")
def _():
    # Found by the emulator (seed 46): a controller that had not moved to the next epoch when another one lost
    # its disk stayed in the previous membership permanently, because no majority of it was left to contact.
    for seed, variant in ((46, 0.136), (46, 0.764), (1, 0.126)):
        replacement = Fault(FaultKind.REPLACE_CONTROLLER, 4.532, 2.0, 0.726, variant)
        outcome = play(Day(seed, (replacement,)))
        assert not outcome.violations, f"seed {seed}, {variant}: {outcome.violations}"


@test("a controller is replaced as planned (target {target}), then another one is lost: no rule is violated")
def _(target=each(0.005, 0.006, 0.303, 0.3), end=each(*PlannedEnd)):
    # The predecessor stayed a member for 21 s after its end, and the next loss left no majority for good.
    assert planned_end(target) is end
    for seed, variant in enumerate((0.1, 0.6)):
        replacement = Fault(FaultKind.REPLACE_AS_PLANNED, 1.0, 3.0, target, variant)
        outcome = play(Day(seed, (replacement,), traffic_s=20.0))
        assert not outcome.violations, f"seed {seed}, {variant}: {outcome.violations}"


@test("controllers restart one after the other by SIGTERM, {spare} a spare: no rule is violated")
def _(spare=each("with", "without"), target=each(0.2, 0.7)):
    for seed, variant in enumerate((0.0, 0.4)):
        restarts = Fault(FaultKind.RESTART_IN_TURN, 1.0, 1.0, target, variant)
        outcome = play(Day(seed, (restarts,), traffic_s=16.0))
        assert not outcome.violations, f"seed {seed}, {variant}: {outcome.violations}"


@test("no periodic task fails while all programs start within 0.3 s in random order")
def _():
    # Found by the emulator: a disk that entered the first epoch while it waited for its lock then tried to
    # move from there to a next epoch that does not exist (TypeError, hidden because the task was retried).
    for seed in (2, 300015, 310063):
        outcome = play(Day(seed, traffic_s=3.0))
        assert not outcome.violations, f"seed {seed}: {outcome.violations}"


PLAY_AT_OTHER_ADDRESSES = """
import sys
allocated = [bytearray(n % 999) for n in range(int(sys.argv[1]))]
from honeywood.lab.emulator.day import Day
from honeywood.lab.emulator.emulated_day import play
from honeywood.lab.emulator.faults.draw import draw_day
print([play(draw_day(Day(seed))) for seed in (31, 33, 36)])
"""


@test("days have identical outcomes in processes whose objects have different memory addresses")
def _():
    # Sets of tasks were iterated in the order of memory addresses, and random numbers drawn in that order.
    printed = [
        subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PLAY_AT_OTHER_ADDRESSES, allocated],
            env={**os.environ, "PYTHONHASHSEED": "0", "PYTHONPATH": os.pathsep.join(sys.path)},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for allocated in ("0", "50000")
    ]
    assert printed[0] == printed[1]
    assert "Outcome" in printed[0]


@test("five controllers with three of them as seeds discover one another and tolerate two lost disks")
def _():
    # Found by the emulator: a controller that polled another one was not polled in return. Five controllers
    # therefore never discovered one another, nothing was acknowledged, and all requests got 503.
    for seed in range(3):
        outcome = play(draw_day(Day(seed, tolerated_failures=2)))
        assert not outcome.violations, f"seed {seed}: {outcome.violations}"
        assert outcome.worth > 0.8 * outcome.requests, f"seed {seed}"


@test("a program that one fault has restarted is not started a second time by a concurrent fault")
def _():
    # Two concurrent incarnations of a controller on one disk lost an acknowledged rollout (found on days with
    # many faults, seed 700002).
    faults = (
        fault(FaultKind.KILL_MANY, 1.0, target=0.2, variant=0.1),
        fault(FaultKind.KILL_MANY, 1.1, target=0.7, variant=0.1),
        fault(FaultKind.CLOCK_STEP, 1.2, target=0.1, variant=0.0),
    )
    day, started = EmulatedDay(Day(1, faults)), []

    def start(name, start=day.start):
        started.append((name, name in day.processes))
        start(name)

    day.start = start
    assert not day.play().violations
    assert len(started) >= 10 and not any(runs for _, runs in started), started


@test("a day with the single fault {kind} violates no rule")
def _(
    kind=each(
        FaultKind.KILL_MANY,
        FaultKind.WIPE_AFTER_ORDER,
        FaultKind.DISK_REFUSES,
        FaultKind.DISCONNECTING_CLIENTS,
        FaultKind.SLOW_MACHINES,
    ),
):
    for seed, variant in enumerate((0.12, 0.37, 0.62, 0.87)):
        target = (0.87, 0.32, 0.57, 0.22)[seed]
        outcome = play(Day(seed, (fault(kind, target=target, variant=variant),)))
        assert not outcome.violations, f"seed {seed}: {outcome.violations}"
