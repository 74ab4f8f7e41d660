"""Revalidates machine records after the proxy was out of contact for long."""

from __future__ import annotations

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.routing.endpoint_state import EndpointState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.dissemination.subscriber import Subscriber

TIMEOUT_S = 10.0  # within which controllers have repeated all that they know


class MachineRevalidation:
    """Finds machines that left while the proxy was out of contact.

    Controllers forget machines that left some time after, so a long partition may hide their departure.
    Everything is then requested anew, and machines of which no one has told again are taken for lost.
    """

    def __init__(self, clock: Callable[[], float], store: Store, subscribers: Sequence[Subscriber]) -> None:
        """`subscribers` repeat their requests from the start."""
        self.clock = clock
        self.store = store
        self.subscribers = subscribers
        self.started_at: float | None = None

    def start(self) -> None:
        """Marks all machine records as stale and requests everything anew."""
        self.store.mark_stale(RecordKind.MACHINE)
        for subscriber in self.subscribers:
            subscriber.positions.clear()
        self.started_at = self.clock()

    def check(self) -> None:
        """After the time-out: takes machines with stale records for lost."""
        if self.started_at is None or self.clock() - self.started_at <= TIMEOUT_S:
            return
        self.started_at = None
        for key in self.store.stale_keys(RecordKind.MACHINE):
            value = self.store.get(key)
            if isinstance(value, dict):
                self.store.put(key, Stamp.of(0), {**value, "state": EndpointState.LOST})
