"""The record of a service machine that controllers publish and keep on disk, and the stamp of this record.

A stamp consists of two numbers: the sequence number of the heartbeat that the record came with, and 1 if the
machine was silent for too long after that heartbeat, else 0.

The stored form is the JSON object {"svc", "ip", "port", "zone", "ver", "slots", "state", "cold"}. For a
machine that has left, only "state" remains.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import cast

from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.routing.endpoint_state import DRAINING, GONE, LOST, READY

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import TypedDict

    from honeywood.gateway.dissemination.record import JsonValue

    class StoredMachine(TypedDict, total=False):
        """The stored form of a machine's record."""

        svc: str
        ip: str
        port: int
        zone: str
        ver: str
        slots: int
        state: str
        cold: float


IN_SERVICE = (READY, DRAINING)  # states of machines that serve requests
OUT_OF_SERVICE = (GONE, LOST)
DEPARTED_SEQUENCE = 1 << 53  # above that of any heartbeat, so that a machine that has left does not come back


def heartbeat_stamp(sequence: int) -> Stamp:
    """Return the stamp of a record that came with the heartbeat of this sequence number."""
    return Stamp.of(sequence, 0)


def lost_stamp(sequence: int) -> Stamp:
    """Return the stamp of a record saying that no heartbeat followed the one of this number in time."""
    return Stamp.of(sequence, 1)


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """A machine's state; its other attributes are None once it has left."""

    state: str
    service: str | None = None
    ip: str | None = None
    port: int | None = None
    zone: str | None = None
    version: str | None = None
    slots: int | None = None  # requests that it serves concurrently
    warmup_left_s: float | None = None

    @property
    def in_service(self) -> bool:
        """Whether it serves requests."""
        return self.state in IN_SERVICE

    def differs_from(self, other: MachineRecord) -> bool:
        """Return whether anything differs besides the remaining warm-up time, which counts down by itself."""
        return replace(self, warmup_left_s=None) != replace(other, warmup_left_s=None)

    def encode(self) -> dict[str, str | int | float]:
        """Return the stored form."""
        attributes = (
            ("svc", self.service),
            ("ip", self.ip),
            ("port", self.port),
            ("zone", self.zone),
            ("ver", self.version),
            ("slots", self.slots),
            ("state", self.state),
            ("cold", self.warmup_left_s),
        )
        return {key: value for key, value in attributes if value is not None}

    @classmethod
    def decode(cls, value: JsonValue) -> MachineRecord:
        """Return the record of a stored form that a controller wrote."""
        stored = cast("StoredMachine", value)
        return cls(
            state=stored["state"],
            service=stored.get("svc"),
            ip=stored.get("ip"),
            port=stored.get("port"),
            zone=stored.get("zone"),
            version=stored.get("ver"),
            slots=stored.get("slots"),
            warmup_left_s=stored.get("cold"),
        )


DEPARTED = MachineRecord(GONE)
DEPARTED_STAMP = heartbeat_stamp(DEPARTED_SEQUENCE)
