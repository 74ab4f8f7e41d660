"""Causes each fault at its time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults import disks, machines, membership, network, orders, processes
from honeywood.lab.emulator.faults.fault import Fault, FaultKind

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

CAUSES: dict[FaultKind, Callable[[EmulatedDay, Fault], Awaitable[None]]] = {
    FaultKind.KILL_PROXY: processes.kill_proxy,
    FaultKind.KILL_CONTROLLERS: processes.kill_controllers,
    FaultKind.KILL_ALL: processes.kill_all,
    FaultKind.KILL_MANY: processes.kill_many,
    FaultKind.FREEZE: processes.freeze,
    FaultKind.SLOW_PROCESS: processes.slow,
    FaultKind.CLOCK_STEP: processes.step_clock,
    FaultKind.WIPE_CONTROLLERS: disks.wipe_controllers,
    FaultKind.WIPE_AFTER_ACKNOWLEDGEMENT: disks.wipe_after_acknowledgement,
    FaultKind.WIPE_AFTER_ORDER: disks.wipe_after_order,
    FaultKind.DISK_FAULT: disks.degrade_disk,
    FaultKind.DISK_REFUSES: disks.refuse_writes,
    FaultKind.REMOVE_CONTROLLERS: membership.remove_controllers,
    FaultKind.REPLACE_CONTROLLER: membership.replace_controller,
    FaultKind.REPLACE_AS_PLANNED: membership.replace_controller_as_planned,
    FaultKind.RESTART_IN_TURN: membership.restart_in_turn,
    FaultKind.PARTITION: network.partition_program,
    FaultKind.LINK_PARTITION: network.partition_links,
    FaultKind.SEED_PARTITION: network.partition_seed,
    FaultKind.MESSAGE_LOSS: network.lose_messages,
    FaultKind.DUPLICATE_CALLS: network.duplicate_calls,
    FaultKind.MACHINE_CRASH: machines.crash,
    FaultKind.MACHINE_DRAIN: machines.drain,
    FaultKind.LOST_RESPONSES: machines.lose_responses,
    FaultKind.STRAY_RESPONSES: machines.send_stray_responses,
    FaultKind.FAILING_RESPONSES: machines.fail_responses,
    FaultKind.NON_COMPLIANT_CLIENTS: machines.ignore_retry_limits,
    FaultKind.DISCONNECTING_CLIENTS: machines.disconnect_clients,
    FaultKind.SLOW_MACHINES: machines.slow_machines,
    FaultKind.CONFIGURATION_CHANGES: orders.change_configurations,
    FaultKind.CONFLICTING_CONFIGURATIONS: orders.send_conflicting_configurations,
    FaultKind.DUPLICATE_ORDERS: orders.duplicate_orders,
    FaultKind.GOOD_ROLLOUT: orders.roll_out_good_version,
    FaultKind.BAD_ROLLOUT: orders.roll_out_bad_version,
    FaultKind.SUPERSEDED_ROLLOUT: orders.supersede_rollout,
}


async def cause(world: EmulatedDay, fault: Fault, traffic_began_at: float) -> None:
    """Wait until the time of a fault, and cause it."""
    await asyncio.sleep(traffic_began_at + fault.at_s - world.loop.time())
    await CAUSES[fault.kind](world, fault)
