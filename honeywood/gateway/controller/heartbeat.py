"""Decodes and checks the body of a machine's heartbeat.

The body is {"svc", "addr", "zone", "ver", "slots", "state", "cold_left_s", "seq"}. "addr" is "ip:port", "seq"
increases with each heartbeat, and "cold_left_s" is the number of seconds until the machine is warmed up.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.configuration.addresses import parse_address
from honeywood.gateway.configuration.check import need
from honeywood.gateway.controller.machine_record import (
    DEPARTED_SEQUENCE,
    IN_SERVICE,
    MachineRecord,
    heartbeat_stamp,
)
from honeywood.gateway.errors import InvalidInput

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.dissemination.record import Stamp

OPERATION = "instances.heartbeat"
SEQUENCE_MAX = DEPARTED_SEQUENCE - 1
SLOTS_MAX = 1 << 20
MACHINE_ID_MAX_BYTES = 256  # the key of a row on disk may have 511
RESERVED_CHARACTER = "\0"  # starts the keys of rows on disk that do not belong to a machine


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A machine's report of its state; `stamp` holds the heartbeat's sequence number."""

    stamp: Stamp
    record: MachineRecord


def check_machine_id(operation: str, machine_id: str, peer: str) -> None:
    """Raise InvalidInput if a machine's id is missing or can't be stored."""
    if not machine_id:
        raise InvalidInput(operation, "of is missing", peer)
    if RESERVED_CHARACTER in machine_id or len(machine_id.encode()) > MACHINE_ID_MAX_BYTES:
        raise InvalidInput(operation, "of is no id: it holds a NUL or is too long", peer)


def decode_heartbeat(machine_id: str, body: Mapping[str, object], peer: str) -> Heartbeat:
    """Return the heartbeat in a call's body; raises InvalidInput, which names the invalid key."""
    check_machine_id(OPERATION, machine_id, peer)
    state = need(body, "state", str, OPERATION, peer=peer)
    if state not in IN_SERVICE:
        raise InvalidInput(OPERATION, f"state {state!r} is not known", peer)
    ip, port = parse_address(need(body, "addr", str, OPERATION, peer=peer), f"{OPERATION}: addr", peer)
    sequence = need(body, "seq", int, OPERATION, least=0, most=SEQUENCE_MAX, peer=peer)
    record = MachineRecord(
        state=state,
        service=need(body, "svc", str, OPERATION, peer=peer),
        ip=ip,
        port=port,
        zone=need(body, "zone", str, OPERATION, "", peer=peer),
        version=need(body, "ver", str, OPERATION, "", peer=peer),
        slots=need(body, "slots", int, OPERATION, 1, least=1, most=SLOTS_MAX, peer=peer),
        warmup_left_s=max(0.0, need(body, "cold_left_s", float, OPERATION, 0.0, peer=peer)),
    )
    return Heartbeat(heartbeat_stamp(sequence), record)
