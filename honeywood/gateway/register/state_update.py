"""The state that a controller's disk stores, and its encoding as rows.

Besides the registers' rows a disk stores its incarnation, its current configuration, the known incarnations
of other disks that are later than the first, and this controller's log of the machines' heartbeats, on which
no other controller relies. All rows are JSON; their keys and forms are those of the released versions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.row import Row, row_from_json

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.register.json_value import JsonValue

INCARNATION_KEY = "born"
CONFIGURATION_KEY = "members"
PEER_INCARNATIONS_KEY = "lives"
HEARTBEAT_PREFIX = "note/"
"""This prefix and a machine's id are the key of the row with its latest heartbeat."""

METADATA_KEYS = (INCARNATION_KEY, CONFIGURATION_KEY, PEER_INCARNATIONS_KEY)


class HeartbeatRecord(NamedTuple):
    """The latest heartbeat of a machine: the stamp by which heartbeats are ordered, and its content."""

    stamp: list[int]
    value: JsonValue


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """An update that is written to a disk atomically; fields that aren't given stay unchanged.

    A register's row or a heartbeat that is None is removed.
    """

    registers: Mapping[str, Row | None] = field(default_factory=dict)
    heartbeats: Mapping[str, HeartbeatRecord | None] = field(default_factory=dict)
    configuration: MembershipConfiguration | None = None
    incarnation: int | None = None
    peer_incarnations: Mapping[str, int] | None = None

    def encode(self) -> dict[str, JsonValue]:
        """Return the rows to write, by key; a row that is None is removed."""
        rows: dict[str, JsonValue] = {**self.registers}
        rows.update({HEARTBEAT_PREFIX + id: record for id, record in self.heartbeats.items()})
        if self.peer_incarnations is not None:
            rows[PEER_INCARNATIONS_KEY] = self.peer_incarnations
        if self.incarnation is not None:
            rows[INCARNATION_KEY] = self.incarnation
        if self.configuration is not None:
            rows[CONFIGURATION_KEY] = self.configuration.encode()
        return rows

    @classmethod
    def decode(cls, rows: Mapping[str, JsonValue]) -> StateUpdate:
        """Return the update that turns an empty state into the state of the stored rows."""
        configuration = rows.get(CONFIGURATION_KEY)
        return cls(
            registers={key: row_from_json(row) for key, row in rows.items() if is_register(key)},
            heartbeats={
                key.removeprefix(HEARTBEAT_PREFIX): HeartbeatRecord(*row)
                for key, row in rows.items()
                if key.startswith(HEARTBEAT_PREFIX)
            },
            configuration=configuration and MembershipConfiguration.from_stored(configuration),
            incarnation=rows.get(INCARNATION_KEY),
            peer_incarnations=rows.get(PEER_INCARNATIONS_KEY),
        )


def is_register(key: str) -> bool:
    """Return whether the row with this key is a register's."""
    return key not in METADATA_KEYS and not key.startswith(HEARTBEAT_PREFIX)
