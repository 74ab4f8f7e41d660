"""The body of a machine's heartbeat, read and checked.

{"svc", "addr", "zone", "ver", "slots", "state", "cold_left_s", "seq"}: "addr" is "ip:port", "seq" rises with
each heartbeat, "cold_left_s" are the seconds until the machine has warmed up.
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
MACHINE_ID_MAX_BYTES = 256  # a row's key on disk holds 511
RESERVED_CHARACTER = "\0"  # begins the keys of rows on disk that are no machine's


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a machine reports of itself."""

    stamp: Stamp
    record: MachineRecord


def check_machine_id(operation: str, machine_id: str, peer: str) -> None:
    """Raise InvalidInput where a call names no machine, or by what can't be stored."""
    if not machine_id:
        raise InvalidInput(operation, "of is missing", peer)
    if RESERVED_CHARACTER in machine_id or len(machine_id.encode()) > MACHINE_ID_MAX_BYTES:
        raise InvalidInput(operation, "of is no id: it holds a NUL or is too long", peer)


def decode_heartbeat(machine_id: str, body: Mapping[str, object], peer: str) -> Heartbeat:
    """Return the heartbeat of a call; raises InvalidInput that names the key."""
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
