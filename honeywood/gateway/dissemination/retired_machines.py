"""Machines that are gone or lost: their records are kept for a while, then dropped. Pure.

A machine that left for good announced it, and its id is never used again: its tombstone (tombstones.py)
keeps late copies of its records out. A machine that was lost may return; its next heartbeat makes it known
again.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.routing.endpoint_state import GONE, LOST

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.store import Store

RETENTION_S = 120.0  # for which a retired machine's record is kept: well above MAX_DISCONNECTED_S
MAX_DISCONNECTED_S = 60.0  # without a controller in quorum; then a proxy's records of machines are stale
MAX_RETIRED = 2000  # machines; beyond them the oldest are dropped sooner


def is_retired(value: object) -> bool:
    """Whether the value of a record says that a machine is gone or lost."""
    return isinstance(value, dict) and value.get("state") in (GONE, LOST)


@dataclass(frozen=True, slots=True)
class Retirement:
    """When a machine was seen in a state that ends its service."""

    at: float
    state: str


class RetiredMachines:
    """The retired machines of one store, the one that retired first in front."""

    def __init__(self, store: Store) -> None:
        """No machine on `store` is retired."""
        self.store = store
        self._retired: dict[str, Retirement] = {}

    def observe(self, now: float, machine_id: str, state: str) -> None:
        """The record of a machine has come to the store."""
        self._retired.pop(machine_id, None)
        if state in (GONE, LOST):
            self._retired[machine_id] = Retirement(now, state)

    def evict(self, now: float) -> list[str]:
        """Drops the records of machines that retired long ago or are too many; the ids of these machines."""
        evicted = []
        while self._retired:
            machine_id, retired = next(iter(self._retired.items()))
            if now - retired.at < RETENTION_S and len(self._retired) <= MAX_RETIRED:
                break
            del self._retired[machine_id]
            self.store.drop_machine(machine_id, permanently=retired.state == GONE)
            evicted.append(machine_id)
        return evicted
