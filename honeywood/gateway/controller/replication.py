"""Delays an acknowledgement until enough other controllers hold the acknowledged change."""

from __future__ import annotations

import asyncio

from honeywood.gateway.errors import Unavailable

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.dissemination.store import Store

OPERATION = "instances"
REPLICATION_TIMEOUT_S = 0.8  # seconds within which enough other controllers must hold a change


class Replication:
    """Waits for other controllers to acknowledge changes of the local store."""

    def __init__(self, store: Store, contacts: Contacts, clock: Callable[[], float]) -> None:
        """Start without any waiter; `clock` returns monotonic seconds."""
        self.store, self.contacts, self.clock = store, contacts, clock
        self._waiters: list[asyncio.Event] = []

    def notify(self) -> None:
        """Wake all waiters to check again: another controller may have acknowledged more changes."""
        for acknowledged in self._waiters:
            acknowledged.set()

    async def wait(self) -> None:
        """Return when enough others hold all changes made so far; raises Unavailable on time-out."""
        revision, deadline = self.store.revision, self.clock() + REPLICATION_TIMEOUT_S
        acknowledged = asyncio.Event()
        self._waiters.append(acknowledged)
        try:
            while not self.contacts.is_replicated(revision):
                acknowledged.clear()
                async with asyncio.timeout(deadline - self.clock()):
                    await acknowledged.wait()
        except TimeoutError:
            raise Unavailable(OPERATION, "too few other controllers heard it in time") from None
        finally:
            self._waiters.remove(acknowledged)
