"""Revalidates machine records after the proxy was out of contact with controllers for a long time."""

from __future__ import annotations

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.routing.endpoint_state import EndpointState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.dissemination.subscriber import Subscriber

REVALIDATION_TIMEOUT_S = 10.0  # within which controllers have sent all their records again


class MachineRevalidation:
    """Finds machines that left while the proxy was out of contact.

    Controllers drop the records of machines some time after they left, so after a long partition a proxy may
    never be notified of their departure. It then requests all records again, and marks the machines whose
    records were not received again as lost.
    """

    def __init__(self, clock: Callable[[], float], store: Store, subscribers: Sequence[Subscriber]) -> None:
        """Builds the revalidation; `subscribers` are those that request all records again."""
        self.clock = clock
        self.store = store
        self.subscribers = subscribers
        self.started_at: float | None = None

    def start(self) -> None:
        """Marks all machine records as stale and requests all records again."""
        self.store.mark_stale(RecordKind.MACHINE)
        for subscriber in self.subscribers:
            subscriber.positions.clear()
        self.started_at = self.clock()

    def check(self) -> None:
        """Marks machines with stale records as lost once the time-out is over; called periodically."""
        if self.started_at is None or self.clock() - self.started_at <= REVALIDATION_TIMEOUT_S:
            return
        self.started_at = None
        for key in self.store.stale_keys(RecordKind.MACHINE):
            value = self.store.get(key)
            if isinstance(value, dict):
                self.store.put(key, Stamp.of(0), {**value, "state": EndpointState.LOST})
