"""Injects the faults of a soak test's machines."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from dataclasses import replace
from typing import Any

from honeywood.lab.soak.faults import Fault, FaultKind
from honeywood.lab.soak.machine import SoakMachine
from honeywood.lab.soak.machine_faults import MachineFaults

FAULTY_SHARE = 0.4
"""Of the requests of the affected machines."""
FAULTS_OF_KIND: Mapping[FaultKind, Mapping[str, Any]] = {
    FaultKind.LOST_RESPONSES: {"lost_share": FAULTY_SHARE},
    FaultKind.STRAY_RESPONSES: {"stray_share": FAULTY_SHARE},
    FaultKind.SLOW_MACHINES: {"slow_share": FAULTY_SHARE},
    FaultKind.FULL_MACHINES: {"slots": 1},
    FaultKind.REJECTING_MACHINES: {"rejected_share": FAULTY_SHARE},
    FaultKind.REPEATED_RESPONSES: {"rejected_share": FAULTY_SHARE, "repeated_share": FAULTY_SHARE},
    FaultKind.CLOSING_MACHINES: {"closing_share": FAULTY_SHARE},
    FaultKind.RESETTING_MACHINES: {"reset_share": FAULTY_SHARE},
}
"""The fields of MachineFaults that a fault changes on every second machine."""


class MachineFaultInjector:
    """Injects faults into machines; each handler returns the ids of those that couldn't observe anything."""

    def __init__(self, machines: Sequence[SoakMachine]) -> None:
        """`machines` are those of two services, the first half of one and the second half of the other."""
        self._machines = machines
        self._restart_lock = asyncio.Lock()

    @property
    def handlers(self) -> dict[FaultKind, Callable[[Fault], Awaitable[Collection[str]]]]:
        """The handlers by the kinds of faults that they inject."""
        return {
            **dict.fromkeys(FAULTS_OF_KIND, self._disturb),
            FaultKind.PAUSED_MACHINES: self._pause,
            FaultKind.RESTARTED_MACHINES: self._restart,
        }

    def _affected_machines(self, fault: Fault) -> Sequence[SoakMachine]:
        return self._machines[int(fault.target * 2) :: 2]

    async def _disturb(self, fault: Fault) -> Collection[str]:
        """Change some faults of every second machine for the fault's duration."""
        machines, changes = self._affected_machines(fault), FAULTS_OF_KIND[fault.kind]
        healthy = MachineFaults()
        for machine in machines:
            machine.faults = replace(machine.faults, **changes)
        await asyncio.sleep(fault.duration_s)
        for machine in machines:
            restored = {name: getattr(healthy, name) for name in changes}
            machine.faults = replace(machine.faults, **restored)
        return []

    async def _pause(self, fault: Fault) -> Collection[str]:
        machines = self._affected_machines(fault)
        for machine in machines:
            machine.running.clear()
        await asyncio.sleep(fault.duration_s)
        for machine in machines:
            machine.running.set()
        return [machine.id for machine in machines]

    async def _restart(self, fault: Fault) -> Collection[str]:
        """End a machine of each service, then restart each at the address of the other."""
        half = len(self._machines) // 2
        index = int(fault.target * half)
        pair = self._machines[index], self._machines[half + index]
        async with self._restart_lock:
            for machine in pair:
                machine.end()
            await asyncio.sleep(fault.duration_s)
            addresses = [machine.ip for machine in pair]
            for machine, ip in zip(pair, reversed(addresses), strict=True):
                await machine.restart(ip)
        return []
