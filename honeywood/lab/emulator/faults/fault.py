"""One fault, and the kinds of faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """What fails; the values are stored in files of days and shown, and faults are drawn in their order."""

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
    """A fault at `at_s` seconds of traffic for `duration_s`.

    `target`, 0 to 1, stands for what it hits, `variant`, 0 to 1, for its form or strength.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    target: float
    variant: float
