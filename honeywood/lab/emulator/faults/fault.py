"""One fault, and the kinds of faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """The kinds of faults.

    The values are stored in files of days and shown in reports. Faults are drawn from the values in sorted
    order, so a change of a value changes the faults of every seed.
    """

    KILL_PROXY = "kill_front"
    KILL_CONTROLLERS = "kill_controller"
    KILL_ALL = "kill_all"
    KILL_MANY = "kill_many"
    FREEZE = "freeze"
    SLOW_PROCESS = "slow"
    CLOCK_STEP = "clock_step"
    WIPE_CONTROLLERS = "wipe_controller"
    WIPE_AFTER_ACKNOWLEDGEMENT = "after_ack"
    WIPE_AFTER_ORDER = "lost_after_order"
    DISK_FAULT = "disk"
    DISK_REFUSES = "disk_refuses"
    REMOVE_CONTROLLERS = "remove"
    REPLACE_CONTROLLER = "replace"
    REPLACE_AS_PLANNED = "replace_planned"
    RESTART_IN_TURN = "roll_restart"
    PARTITION = "cut"
    LINK_PARTITION = "sever"
    SEED_PARTITION = "seeds_cut"
    MESSAGE_LOSS = "lossy"
    DUPLICATE_CALLS = "copies"
    MACHINE_CRASH = "crash"
    MACHINE_DRAIN = "drain"
    LOST_RESPONSES = "answers_lost"
    STRAY_RESPONSES = "garble"
    FAILING_RESPONSES = "ill"
    NON_COMPLIANT_CLIENTS = "deaf"
    DISCONNECTING_CLIENTS = "leaving"
    SLOW_MACHINES = "sluggish"
    CONFIGURATION_CHANGES = "configure"
    CONFLICTING_CONFIGURATIONS = "race"
    DUPLICATE_ORDERS = "orders"
    GOOD_ROLLOUT = "rollout_good"
    BAD_ROLLOUT = "rollout_bad"
    SUPERSEDED_ROLLOUT = "rollout_after"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins `at_s` seconds after the start of traffic and lasts `duration_s` seconds.

    `target`, from 0 to 1, selects the affected program or machine. `variant`, from 0 to 1, selects the form
    or the severity of the fault.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    target: float
    variant: float
