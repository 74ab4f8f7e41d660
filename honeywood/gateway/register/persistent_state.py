"""The disk of this controller as the program sees it: what is stored, with a copy in memory."""

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
        """Durable rows by key, as in row_store.RowStore; its methods raise OSError."""

        def rows(self) -> dict[str, JsonValue]:
            """Return all rows."""

        def put(self, rows: Mapping[str, JsonValue]) -> None:
            """Write rows, or remove those that are None, durably."""


REOPEN_INTERVAL_S = 0.3
"""Until a disk that couldn't be opened is tried again."""

OPEN_LOG_INTERVAL_S = 5.0


class PersistentState:
    """What a disk stores. It changes only once a write is durable, or when the disk is opened.

    `registers` are the registers' rows by key, `heartbeats` the records by machine id, `configuration` the
    one this disk goes by, `incarnation` this disk's own (None where nothing is stored), `peer_incarnations`
    those of other disks that are known to be later than the first.
    """

    def __init__(self, settings: Settings, open_store: Callable[[str], Store], log: EventLog) -> None:
        """`open_store` opens the store in a folder; nothing is read before `open`."""
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
        """Read the disk; one that can't be read or synced now is opened later, not taken for empty."""
        while self.store is None:
            try:
                self.store = await self._on_disk(self._open_store, self._folder)
            except OSError as error:
                self._log.info("disk open failed", min_interval_s=OPEN_LOG_INTERVAL_S, why=str(error))
                await asyncio.sleep(REOPEN_INTERVAL_S)
        self.apply(StateUpdate.decode(await self._on_disk(self.store.rows)))

    async def write(self, update: StateUpdate) -> None:
        """Write an update durably, then apply it; raise DiskRefused."""
        assert self.store is not None, "the disk was not opened"
        try:
            await self._on_disk(self.store.put, update.encode())
        except OSError as error:
            raise DiskRefused(PATH, f"the disk refuses: {error}", self.local_ip) from None
        self.apply(update)

    def apply(self, update: StateUpdate) -> None:
        """Take over what is on disk now."""
        _apply_rows(self.registers, update.registers)
        _apply_rows(self.heartbeats, update.heartbeats)
        if update.configuration is not None:
            self.configuration = update.configuration
        if update.incarnation is not None:
            self.incarnation = update.incarnation
        if update.peer_incarnations is not None:
            self.peer_incarnations = update.peer_incarnations

    def accepted_ballots(self) -> dict[str, Ballot]:
        """Return the ballot under which each key's value was accepted, where there is one."""
        return {key: row.accepted for key, row in self.registers.items() if row.value is not None}

    def incarnations(self) -> dict[str, int]:
        """Return all incarnations later than the first that this disk knows of, its own among them."""
        own = self.incarnation or FIRST_INCARNATION
        return {**self.peer_incarnations, **({self.local_ip: own} if own > FIRST_INCARNATION else {})}

    async def record_incarnation(self, ip: str, incarnation: int) -> None:
        """Store the later incarnation of a disk that was lost."""
        if incarnation > self.incarnations().get(ip, FIRST_INCARNATION):
            known = {**self.peer_incarnations, ip: incarnation}
            await self.write(StateUpdate(peer_incarnations=known))

    async def _on_disk(self, work: Callable[..., T], *given: object) -> T:
        return await asyncio.get_running_loop().run_in_executor(self.executor, work, *given)


def _apply_rows(stored: dict[str, T], written: Mapping[str, T | None]) -> None:
    for key, row in written.items():
        if row is None:
            stored.pop(key, None)
        else:
            stored[key] = row
