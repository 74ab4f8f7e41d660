"""Records that a program publishes about itself.

Its clock may have been set back since its previous incarnation, whose records other programs still have
with higher stamps. A program that receives such a record publishes its own above it, as OSPF routers do
with self-originated advertisements (RFC 2328, section 13.4).
"""

from __future__ import annotations

from honeywood.gateway.dissemination.record import Stamp

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.dissemination.record import JsonValue
    from honeywood.gateway.dissemination.store import Store


class LocalRecords:
    """A program's own records on its store, with stamps of (incarnation, a number that rises, epoch)."""

    def __init__(self, store: Store, incarnation: int, is_local: Callable[[str], bool]) -> None:
        """Nothing is published.

        `incarnation` rises from start to start unless the clock was set back; `is_local` recognizes the
        keys of this program's records.
        """
        self.store = store
        self.incarnation = incarnation
        self.is_local = is_local
        self.number = 0
        self.values: dict[str, JsonValue] = {}
        self.epoch = store.epoch
        self._is_publishing = False

    def publish(self, key: str, value: JsonValue) -> None:
        """Publishes a value under a key, in place of the one before."""
        self.values[key] = value
        self.number += 1
        stamp = Stamp.of(self.incarnation, self.number, self.store.epoch)
        self._is_publishing = True
        try:
            self.store.put(key, stamp, value)
        finally:
            self._is_publishing = False

    def refresh(self) -> None:
        """Publishes all values again if the epoch has changed; those that were withdrawn may expire."""
        if self.epoch == self.store.epoch:
            return
        self.epoch = self.store.epoch
        self.values = {key: value for key, value in self.values.items() if value is not None}
        for key, value in self.values.items():
            self.publish(key, value)

    def on_update(self, key: str) -> None:
        """A record has come to the store.

        If it is one of a previous incarnation, this incarnation publishes its own value above it, or
        withdraws the record with the value None.
        """
        if self._is_publishing or not self.is_local(key):
            return
        previous = self.store.stamp(key)
        values = {key: self.values.get(key)}
        if previous is not None and previous[0] >= self.incarnation:
            self.incarnation = previous[0] + 1
            values = {**self.values, **values}
        for changed, value in values.items():
            self.publish(changed, value)
