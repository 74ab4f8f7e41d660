"""The state stored on this controller's disk, with a copy in memory."""

from __future__ import annotations

import asyncio
from concurrent.futures import Executor, ThreadPoolExecutor

from honeywood.gateway.register.errors import DiskRefused
from honeywood.gateway.register.incarnations import FIRST_INCARNATION
from honeywood.gateway.register.message_fields import PATH
from honeywood.gateway.register.state_update import HeartbeatRecord, StateUpdate

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Protocol, TypeVar

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.membership_configuration import MembershipConfiguration
    from honeywood.gateway.register.row import Ballot, Row

    T = TypeVar("T")

    class Store(Protocol):
        """Durable rows by key, for example a row_store.RowStore; its methods raise OSError."""

        def rows(self) -> dict[str, JsonValue]:
            """Return all rows."""

        def put(self, rows: Mapping[str, JsonValue]) -> None:
            """Write rows durably, and remove those that are None."""


REOPEN_INTERVAL_S = 0.3
"""The delay before opening a disk is retried."""

OPEN_LOG_INTERVAL_S = 5.0


class PersistentState:
    """The stored state, in memory. It changes only after a write is durable, or when the disk is opened.

    `registers` has the registers' rows by key, `heartbeats` the records by machine id, `configuration` this
    disk's current configuration, `incarnation` the incarnation of this disk (None if nothing is stored), and
    `peer_incarnations` the incarnations of other disks that are known to be later than the first.
    """

    def __init__(self, settings: Settings, open_store: Callable[[str], Store], log: EventLog) -> None:
        """`open_store` opens the store in a folder; nothing is read before `open` is called."""
        self.local_ip, self._folder = settings.ip, settings.data_directory
        self._open_store, self._log = open_store, log
        self.store: Store | None = None
        self.executor: Executor = ThreadPoolExecutor(1)
        self.registers: dict[str, Row] = {}
        self.heartbeats: dict[str, HeartbeatRecord] = {}
        self.configuration: MembershipConfiguration | None = None
        self.incarnation: int | None = None
        self.peer_incarnations: Mapping[str, int] = {}

    async def open(self) -> None:
        """Open and read the disk, with retries until it opens: a faulty disk must not be taken for empty."""
        while self.store is None:
            try:
                self.store = await self._on_disk(self._open_store, self._folder)
            except OSError as error:
                self._log.info("disk open failed", min_interval_s=OPEN_LOG_INTERVAL_S, why=str(error))
                await asyncio.sleep(REOPEN_INTERVAL_S)
        self.apply(StateUpdate.decode(await self._on_disk(self.store.rows)))

    async def write(self, update: StateUpdate) -> None:
        """Write an update durably, then apply it in memory; raise DiskRefused."""
        assert self.store is not None, "the disk was not opened"
        try:
            await self._on_disk(self.store.put, update.encode())
        except OSError as error:
            raise DiskRefused(PATH, f"the disk refuses: {error}", self.local_ip) from None
        self.apply(update)

    def apply(self, update: StateUpdate) -> None:
        """Apply an update in memory that is already on disk."""
        _apply_rows(self.registers, update.registers)
        _apply_rows(self.heartbeats, update.heartbeats)
        if update.configuration is not None:
            self.configuration = update.configuration
        if update.incarnation is not None:
            self.incarnation = update.incarnation
        if update.peer_incarnations is not None:
            self.peer_incarnations = update.peer_incarnations

    def accepted_ballots(self) -> dict[str, Ballot]:
        """Return the ballot under which the value of each key that has one was accepted."""
        return {key: row.accepted for key, row in self.registers.items() if row.value is not None}

    def incarnations(self) -> dict[str, int]:
        """Return all incarnations later than the first that this disk knows, including its own."""
        own = self.incarnation or FIRST_INCARNATION
        return {**self.peer_incarnations, **({self.local_ip: own} if own > FIRST_INCARNATION else {})}

    async def record_incarnation(self, ip: str, incarnation: int) -> None:
        """Store the incarnation of a disk that was lost, if it is later than the known one."""
        if incarnation > self.incarnations().get(ip, FIRST_INCARNATION):
            known = {**self.peer_incarnations, ip: incarnation}
            await self.write(StateUpdate(peer_incarnations=known))

    async def _on_disk(self, operation: Callable[..., T], *arguments: object) -> T:
        return await asyncio.get_running_loop().run_in_executor(self.executor, operation, *arguments)


def _apply_rows(stored: dict[str, T], written: Mapping[str, T | None]) -> None:
    for key, row in written.items():
        if row is None:
            stored.pop(key, None)
        else:
            stored[key] = row
