"""Retired machines, which are gone or lost: their records are kept for a limited time, then dropped.

A machine that is gone has announced that it leaves permanently, and its id is never used again: late copies
of its records are rejected because of its tombstone (tombstones.py). A machine that was lost may return; its
next heartbeat makes it known again.

This module performs no I/O: times come from the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.routing.endpoint_state import GONE, LOST

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.store import Store

RETENTION_S = 120.0  # for which the record of a retired machine is kept; well above MAX_DISCONNECTED_S
# Time without contact to a controller in quorum after which a proxy's records of machines are stale.
MAX_DISCONNECTED_S = 60.0
MAX_RETIRED = 2000  # machines; if there are more, the oldest are dropped before RETENTION_S


def is_retired(value: object) -> bool:
    """Whether the value of a record is that of a machine that is gone or lost."""
    return isinstance(value, dict) and value.get("state") in (GONE, LOST)


@dataclass(frozen=True, slots=True)
class Retirement:
    """When a machine was last seen to be gone or lost, and which of the two."""

    at: float
    state: str


class RetiredMachines:
    """The retired machines of one store, in the order in which they retired."""

    def __init__(self, store: Store) -> None:
        """Initially no machine of `store` is retired."""
        self.store = store
        self._retired: dict[str, Retirement] = {}

    def observe(self, now: float, machine_id: str, state: str) -> None:
        """Handles the state in a machine's record that was added to the store."""
        self._retired.pop(machine_id, None)
        if state in (GONE, LOST):
            self._retired[machine_id] = Retirement(now, state)

    def evict(self, now: float) -> list[str]:
        """Drops the records of machines that retired RETENTION_S ago, and of the oldest above MAX_RETIRED.

        Returns the ids of these machines.
        """
        evicted = []
        while self._retired:
            machine_id, retired = next(iter(self._retired.items()))
            if now - retired.at < RETENTION_S and len(self._retired) <= MAX_RETIRED:
                break
            del self._retired[machine_id]
            self.store.drop_machine(machine_id, permanently=retired.state == GONE)
            evicted.append(machine_id)
        return evicted
