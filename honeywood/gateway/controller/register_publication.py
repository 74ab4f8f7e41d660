"""Publishes values of the replicated register to all programs once a majority of its disks holds them."""

from __future__ import annotations

from honeywood.gateway.configuration import record as configuration_record
from honeywood.gateway.configuration.packing import pack_for_proxies
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record import Stamp

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.controller.register_access import StoredValue
    from honeywood.gateway.dissemination.store import Store


class RegisterPublication:
    """Publishes the register's values in this controller's store."""

    def __init__(self, store: Store) -> None:
        """Publish in `store`."""
        self.store = store

    def publish(self, key: str, value: StoredValue | None) -> None:
        """Publish the value under a key; None, for a key without a value, changes nothing."""
        if value is None:
            return
        if key == RecordKind.CONFIGURATION:
            current = configuration_record.decode(value)
            self._publish_configuration(current.version, current.text)
        else:
            self.store.put(key, Stamp.of(value["n"]), value)

    def _publish_configuration(self, version: int, text: str) -> None:
        """Publish a configuration with hashes in place of its tenants' keys."""
        if self.store.stamp(RecordKind.CONFIGURATION) != Stamp.of(version):
            self.store.put(RecordKind.CONFIGURATION, Stamp.of(version), pack_for_proxies(text))

    @property
    def configuration_version(self) -> int | None:
        """The version of the published configuration, None before the first one."""
        stamp = self.store.stamp(RecordKind.CONFIGURATION)
        return stamp[0] if stamp else None
