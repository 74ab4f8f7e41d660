"""Failing days are minimized and stored."""

import json
from dataclasses import replace

from ward import test

from honeywood.lab.emulator import day_codec, hunt
from honeywood.lab.emulator.day import Day, Outcome
from honeywood.lab.emulator.faults.fault import Fault, FaultKind
from honeywood.lab.emulator.rules.rule import Rule, Violation

KINDS = (
    FaultKind.FAILING_RESPONSES,
    FaultKind.PARTITION,
    FaultKind.NON_COMPLIANT_CLIENTS,
    FaultKind.MACHINE_CRASH,
    FaultKind.MACHINE_DRAIN,
    FaultKind.DISK_FAULT,
    FaultKind.STRAY_RESPONSES,
)
STORED = {
    "seed": 1,
    "faults": [{"kind": "cut", "at_s": 1.0, "for_s": 3.0, "target": 0.5, "variant": 0.4}],
    "seconds": 8.0,
    "fronts": 4,
    "zones": 2,
    "per_s": 40.0,
    "machines": 6,
    "bear": 1,
    "bounds": [],
    "seeing": False,
    "changes": 0,
    "most_faults": 6,
    "link": 0.0,
}


def day_of(*kinds):
    return Day(1, tuple(Fault(kind, 1.0, 3.0, 0.5, 0.4) for kind in kinds))


@test("a failing day is minimized to the faults that cause the violation")
def _():
    def play(day):
        kinds = {fault.kind for fault in day.faults}
        violates = {FaultKind.PARTITION, FaultKind.MACHINE_DRAIN} <= kinds
        return Outcome(violations=[Violation(Rule.AT_MOST_ONCE, 1.0, "")] if violates else [])

    day = day_of(*KINDS)
    minimized = hunt.minimize(day, Rule.AT_MOST_ONCE, play)
    assert [fault.kind for fault in minimized.faults] == ["cut", "drain"]
    assert day_codec.decode(day_codec.encode(day)) == day == replace(day)


@test("a stored day has the field names of released versions")
def _():
    stored = json.loads(json.dumps(day_codec.encode(day_of(FaultKind.PARTITION))))
    assert stored == STORED
