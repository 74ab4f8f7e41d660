"""Operators' calls that read and replace the configuration."""

from __future__ import annotations

from typing import NamedTuple

from honeywood.gateway.configuration import packing, record
from honeywood.gateway.configuration.record import OrderOutcome
from honeywood.gateway.controller.call import CallName
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.errors import NotFound, VersionConflict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.record import ConfigurationRecord
    from honeywood.gateway.controller.register_access import RegisterAccess, StoredValue
    from honeywood.gateway.event_log import EventLog


class ReplaceResult(NamedTuple):
    """The outcome of an order, and the version that is in force after it."""

    outcome: OrderOutcome
    version: int


class ConfigurationOrders:
    """Operators' access to the configuration: reads and replaces it."""

    def __init__(self, register: RegisterAccess, clock: Callable[[], float], log: EventLog) -> None:
        """Read and change the configuration through `register`; `clock` returns monotonic seconds."""
        self.register, self.clock, self.log = register, clock, log

    async def read(self, peer: str) -> str:
        """Return the newest configuration, packed; raises NotFound if a majority holds none."""
        current = await self._current(CallName.READ_CONFIGURATION, peer)
        if current is None:
            raise NotFound(CallName.READ_CONFIGURATION, "none yet", peer)
        return current.text

    async def replace(self, version: int, raw: bytes, peer: str) -> ReplaceResult:
        """Replace the configuration by `raw`; raises VersionConflict if the version has another content."""
        started_at, digest = self.clock(), record.content_digest(raw)
        current = None
        if self._may_be_repeated(version):
            current = await self._current(CallName.REPLACE_CONFIGURATION, peer)
        if current is None or record.order_outcome(current, version, digest) is None:
            current = await self._order(version, raw, digest, peer)
        outcome = record.order_outcome(current, version, digest)
        assert outcome is not None, "an order that a majority holds has an outcome"
        if outcome is OrderOutcome.ACCEPTED:
            self.log.info(
                "configuration accepted",
                ordered=f"{version:08x}",
                characters=len(current.text),
                order_s=round(self.clock() - started_at, 3),
            )
        else:
            self.log.info(
                outcome.value, ordered=f"{version:08x}", held=f"{current.version:08x}", digest=digest
            )
        if outcome is OrderOutcome.CONFLICT:
            reason = f"{version:08x} stands for another content; take a higher one"
            raise VersionConflict(CallName.REPLACE_CONFIGURATION, reason, peer)
        return ReplaceResult(outcome, current.version)

    def _may_be_repeated(self, version: int) -> bool:
        """Return whether an order is probably a repeated one, which a read detects more cheaply."""
        published = self.register.publication.configuration_version
        return published is not None and version <= published

    async def _current(self, operation: str, peer: str) -> ConfigurationRecord | None:
        """Return the record that a majority holds, or None."""
        value = await self.register.read(operation, RecordKind.CONFIGURATION, peer)
        return None if value is None else record.decode(value)

    async def _order(self, version: int, raw: bytes, digest: str, peer: str) -> ConfigurationRecord:
        """Replace the configuration in the register; return the record that a majority then holds."""
        text = packing.pack(raw)

        def update(stored: StoredValue | None) -> StoredValue | None:
            return record.update_stored(stored, version, text, digest)

        operation = CallName.REPLACE_CONFIGURATION
        return record.decode(await self.register.change(operation, RecordKind.CONFIGURATION, update, peer))
