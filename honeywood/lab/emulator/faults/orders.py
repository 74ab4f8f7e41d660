"""Concurrent orders: configurations and rollouts that are late, duplicated, or in conflict."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.operators import GOOD_VERSION, VersionFaults

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

COPIES = 8
"""The number of copies of one order that are sent at once, each to a random controller."""
FAILING_VERSION = VersionFaults(failing_share=0.5)
SLOW_VERSION = VersionFaults(slow_share=0.6)
ROLLOUT_S, SUPERSEDED_ROLLOUT_S, DUPLICATED_ROLLOUT_S = 6.0, 5.0, 3.0
LATE_COPY_INTERVAL_S = 0.5


async def change_configurations(world: EmulatedDay, fault: Fault) -> None:
    """Send two configurations concurrently, and then an older one late."""
    operators = world.operators
    version = operators.next_version(9)
    operators.next_version()
    await asyncio.gather(operators.configure(version), operators.configure(version + 1))
    await operators.configure(version - 3)


async def send_conflicting_configurations(world: EmulatedDay, fault: Fault) -> None:
    """Send two contents under one version number concurrently, each until it is answered.

    Responses may be lost.
    """
    operators = world.operators
    version = operators.next_version(2)
    operators.lost_share = fault.variant / 2
    timeout_s = 4.0 + fault.duration_s
    await asyncio.gather(*[operators.configure(version, mark, timeout_s=timeout_s) for mark in "xy"])
    operators.lost_share = 0.0


async def duplicate_orders(world: EmulatedDay, fault: Fault) -> None:
    """Send copies of one order to random controllers at once, while responses are lost.

    The first order is a configuration that adds a service, the second one a rollout of that service.
    """
    operators = world.operators
    version = operators.next_version()
    operators.lost_share = 0.2 + fault.variant / 2
    operators.service_versions.append(version)
    if await operators.configure(version, copies=COPIES):
        await operators.start_rollout(f"n{version}", "v1", DUPLICATED_ROLLOUT_S, copies=COPIES)
        await operators.configure(version)
    operators.lost_share = 0.0


async def roll_out_good_version(world: EmulatedDay, fault: Fault) -> None:
    """Roll out a good version."""
    copies = COPIES if fault.variant < 0.3 else 1
    await world.operators.roll_out("s", "v2", ROLLOUT_S, GOOD_VERSION, copies)


async def roll_out_bad_version(world: EmulatedDay, fault: Fault) -> None:
    """Roll out a version whose responses fail or are slow."""
    faults = FAILING_VERSION if fault.variant < 0.5 else SLOW_VERSION
    await world.operators.roll_out("s", "v2", ROLLOUT_S, faults)


async def supersede_rollout(world: EmulatedDay, fault: Fault) -> None:
    """Supersede a rollout by another one, and send late copies of the first order, within ack_s."""
    operators, began_at = world.operators, world.loop.time()
    faults = FAILING_VERSION if fault.variant < 0.5 else GOOD_VERSION
    first = operators.roll_out("s", "v2", SUPERSEDED_ROLLOUT_S, faults)
    first_rollout = world.loop.create_task(first)
    await asyncio.sleep(0.2 + fault.duration_s / 2)
    second = operators.roll_out("s", "v3", SUPERSEDED_ROLLOUT_S, GOOD_VERSION)
    second_rollout = world.loop.create_task(second)
    while world.loop.time() < began_at + world.bounds["ack_s"] - 2.0:
        await asyncio.sleep(LATE_COPY_INTERVAL_S)
        await operators.start_rollout("s", "v2", SUPERSEDED_ROLLOUT_S, timeout_s=LATE_COPY_INTERVAL_S)
    await asyncio.gather(first_rollout, second_rollout)
