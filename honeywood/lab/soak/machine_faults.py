"""How a soak test's machine misbehaves."""

from __future__ import annotations

from dataclasses import dataclass

SLOTS = 20


@dataclass(frozen=True, slots=True)
class MachineFaults:
    """Faults of one machine.

    The shares are those of its requests: `lost_share` are executed without a response, `stray_share` get the
    response to another request first, `slow_share` are slow, `rejected_share` are rejected without being
    executed, `repeated_share` get their response twice, `closing_share` end their connection, `reset_share`
    are answered by a reset, some before and some after their execution, `failed_share` fail with 500, and
    `hanging_share` are worked on until their deadline. A machine executes `slots` requests at a time.
    """

    lost_share: float = 0.0
    stray_share: float = 0.0
    slow_share: float = 0.0
    rejected_share: float = 0.0
    repeated_share: float = 0.0
    closing_share: float = 0.0
    reset_share: float = 0.0
    failed_share: float = 0.0
    hanging_share: float = 0.0
    slots: int = SLOTS
