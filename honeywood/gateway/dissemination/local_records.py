"""Records that a program publishes about itself.

The program's clock may have been set back since its previous incarnation, whose records other programs still
have with higher stamps. A program that receives such a record publishes its own with a higher stamp, as OSPF
routers do with self-originated advertisements (RFC 2328, section 13.4).
"""

from __future__ import annotations

from honeywood.gateway.dissemination.record import Stamp

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.dissemination.record import JsonValue
    from honeywood.gateway.dissemination.store import Store


class LocalRecords:
    """The records of a program in its own store, with stamps of (incarnation, sequence number, epoch)."""

    def __init__(self, store: Store, incarnation: int, is_local: Callable[[str], bool]) -> None:
        """Initially nothing is published.

        `incarnation` increases with each start of the program unless its clock was set back. `is_local`
        returns whether a key is that of a record of this program.
        """
        self.store = store
        self.incarnation = incarnation
        self.is_local = is_local
        self.sequence_number = 0
        self.values: dict[str, JsonValue] = {}
        self.epoch = store.epoch
        self._is_publishing = False

    def publish(self, key: str, value: JsonValue) -> None:
        """Publishes a value under a key, in place of the previous one."""
        self.values[key] = value
        self.sequence_number += 1
        stamp = Stamp.of(self.incarnation, self.sequence_number, self.store.epoch)
        self._is_publishing = True
        try:
            self.store.put(key, stamp, value)
        finally:
            self._is_publishing = False

    def refresh(self) -> None:
        """Publishes all values again if the epoch has changed, and lets withdrawn ones expire."""
        if self.epoch == self.store.epoch:
            return
        self.epoch = self.store.epoch
        self.values = {key: value for key, value in self.values.items() if value is not None}
        for key, value in self.values.items():
            self.publish(key, value)

    def on_update(self, key: str) -> None:
        """Handles a record that was added to the store.

        If it is from a previous incarnation of this program, this incarnation publishes its own value with a
        higher stamp, or withdraws the record with the value None.
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
