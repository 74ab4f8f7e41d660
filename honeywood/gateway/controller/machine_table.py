"""The service machines that one controller knows.

A machine's record is published only when it changes. A separate record, which has a stamp and no value,
reports each heartbeat to the other controllers. This module reads no clock: callers pass monotonic seconds.
"""

from __future__ import annotations

from dataclasses import replace

from honeywood.gateway.controller.heartbeat import RESERVED_CHARACTER
from honeywood.gateway.controller.machine_record import (
    DEPARTED,
    DEPARTED_STAMP,
    OUT_OF_SERVICE,
    MachineRecord,
    lost_stamp,
)
from honeywood.gateway.dissemination import tombstones
from honeywood.gateway.dissemination.keys import RecordKind, name_of
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.retired_machines import RetiredMachines
from honeywood.gateway.register.state_update import HeartbeatRecord
from honeywood.gateway.routing.endpoint_state import GONE, LOST

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from honeywood.gateway.controller.heartbeat import Heartbeat
    from honeywood.gateway.dissemination.record import JsonValue
    from honeywood.gateway.dissemination.store import Store

DEPARTED_ROW_PREFIX = RESERVED_CHARACTER  # of the keys of rows that hold tombstones of departed machines
MISSED_HEARTBEATS = 3.4  # heartbeat intervals of silence after which a machine is lost


class MachineTable:
    """Machines by id, as described by the records in the store."""

    def __init__(
        self,
        store: Store,
        heartbeat_interval_s: float,
        on_change: Callable[[str, HeartbeatRecord | None], None],
    ) -> None:
        """Start without machines; `on_change(key, row)` receives rows for this disk, None to remove one."""
        self.store, self.on_change = store, on_change
        self.timeout_s = MISSED_HEARTBEATS * heartbeat_interval_s
        self.last_seen_at: dict[str, float] = {}
        self.retired = RetiredMachines(store)

    def record_heartbeat(self, now: float, machine_id: str, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; one of a machine that has left changes nothing."""
        known = self._get_record(machine_id)
        if known is not None and known.state == GONE:
            return
        self.record_alive(now, machine_id)
        stamp, record = heartbeat.stamp, heartbeat.record
        self.store.put(RecordKind.HEARTBEAT.key(machine_id), stamp, None)
        if known is None or known.differs_from(record):
            self.store.put(RecordKind.MACHINE.key(machine_id), stamp, record.encode())

    def record_alive(self, now: float, machine_id: str) -> None:
        """Record that a heartbeat has arrived at this or another controller."""
        self.last_seen_at[machine_id] = now

    def record_departure(self, machine_id: str) -> None:
        """Publish that a machine has left for good, even if it is unknown here: others may know it."""
        self.store.put(RecordKind.MACHINE.key(machine_id), DEPARTED_STAMP, DEPARTED.encode())

    def observe_record(self, now: float, machine_id: str, value: JsonValue) -> None:
        """Process a machine's record that the store received from this or another controller."""
        state = MachineRecord.decode(value).state
        self.retired.observe(now, machine_id, state)
        if state in OUT_OF_SERVICE:
            self.last_seen_at.pop(machine_id, None)
        if state == GONE:
            self.store.drop(RecordKind.HEARTBEAT.key(machine_id))
        self.on_change(machine_id, HeartbeatRecord(self._stamp(RecordKind.MACHINE.key(machine_id)), value))

    def observe_departed(self, key: str, bucket: str) -> None:
        """Process a bucket of tombstones (hashed ids of departed machines) that the store received.

        Late copies of heartbeats may have added such machines again. Their departure is published once more,
        so that every controller that has received the copies learns of it too.
        """
        self.on_change(DEPARTED_ROW_PREFIX + key, HeartbeatRecord(self._stamp(key), bucket))
        hashes = tombstones.decode(bucket)
        for stored_key, value in self.store.items_of(RecordKind.MACHINE):
            machine_id = name_of(stored_key)
            if tombstones.machine_hash(machine_id) in hashes and MachineRecord.decode(value).state != GONE:
                self.record_departure(machine_id)

    def restore(self, rows: Mapping[str, HeartbeatRecord]) -> None:
        """Load the rows that this disk held at the start.

        Any newer record takes precedence, and a machine that sends no heartbeats expires as usual.
        """
        records = []
        for key, row in rows.items():
            if isinstance(row.value, str):  # a bucket of tombstones, to be stored before any record
                self.store.put(key.removeprefix(DEPARTED_ROW_PREFIX), Stamp(row.stamp), row.value)
            else:
                records.append((key, Stamp(row.stamp), MachineRecord.decode(row.value)))
        for machine_id, stamp, record in records:
            warmed_up = replace(record, warmup_left_s=0.0)
            self.store.put(RecordKind.MACHINE.key(machine_id), stamp, warmed_up.encode())

    def expire(self, now: float, accepting_since: float) -> None:
        """Mark machines that have been silent for too long as lost, and drop those that ended long ago.

        Silence before `accepting_since` does not count: heartbeats were refused then.
        """
        for machine_id in self.retired.evict(now):
            self.on_change(machine_id, None)
        known = dict(self._known_records())
        self._forget_unknown(known)
        for machine_id, record in known.items():
            if not record.in_service:
                continue
            last_seen_at = self.last_seen_at.setdefault(machine_id, now)
            if now - max(last_seen_at, accepting_since) > self.timeout_s:
                self._mark_lost(machine_id, record)

    def _forget_unknown(self, known: dict[str, MachineRecord]) -> None:
        """Drop heartbeats of machines without a record."""
        for machine_id in self.last_seen_at.keys() - known:
            del self.last_seen_at[machine_id]
        for key, _ in self.store.items_of(RecordKind.HEARTBEAT):
            if name_of(key) not in known:
                self.store.drop(key)

    def _mark_lost(self, machine_id: str, record: MachineRecord) -> None:
        """Publish that a machine is lost, with a stamp below its next heartbeat, which restores it."""
        stamps = (
            self.store.stamp(RecordKind.MACHINE.key(machine_id)),
            self.store.stamp(RecordKind.HEARTBEAT.key(machine_id)),
        )
        latest_sequence = max(stamp[0] for stamp in stamps if stamp is not None)
        lost = replace(record, state=LOST)
        self.store.put(RecordKind.MACHINE.key(machine_id), lost_stamp(latest_sequence), lost.encode())

    def _stamp(self, key: str) -> list[int]:
        """Return the stamp of a record in the store, in the form that is written to disk."""
        stamp = self.store.stamp(key)
        return [] if stamp is None else stamp.encode()

    def _get_record(self, machine_id: str) -> MachineRecord | None:
        value = self.store.get(RecordKind.MACHINE.key(machine_id))
        return None if value is None else MachineRecord.decode(value)

    def _known_records(self) -> list[tuple[str, MachineRecord]]:
        """Return the id and record of each machine in the store."""
        return [
            (name_of(key), MachineRecord.decode(value))
            for key, value in self.store.items_of(RecordKind.MACHINE)
        ]
