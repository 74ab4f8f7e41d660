"""Passes each record that a controller's store receives to the component that uses its kind."""

from __future__ import annotations

from honeywood.gateway.dissemination.keys import RecordKind, kind_of, name_of

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

    from honeywood.gateway.controller.machine_table import MachineTable
    from honeywood.gateway.controller.peer_polling import PeerPolling
    from honeywood.gateway.controller.rollout_evidence import RolloutEvidence
    from honeywood.gateway.dissemination.record import JsonValue

    Receiver = Callable[[str, Any], None]  # called with the key without its kind, and the record's value


class RecordRouter:
    """Dispatches records that this controller and others publish, by their kind."""

    def __init__(
        self,
        peers: PeerPolling,
        machines: MachineTable,
        evidence: RolloutEvidence,
        clock: Callable[[], float],
    ) -> None:
        """Pass records on to these components; `clock` returns monotonic seconds."""
        self.peers, self.machines, self.evidence, self.clock = peers, machines, evidence, clock
        self.receivers: dict[str, Receiver] = {
            RecordKind.CONTROLLER: self._receive_controller,
            RecordKind.HEARTBEAT: self._receive_heartbeat,
            RecordKind.MACHINE: self._receive_machine,
            RecordKind.TOMBSTONES: self._receive_tombstones,
            RecordKind.ROLLOUT: self._receive_rollout,
        }

    def route(self, key: str, value: JsonValue) -> None:
        """Pass on a record that has changed; records of other kinds are ignored."""
        receive = self.receivers.get(kind_of(key))
        if receive is not None:
            receive(name_of(key), value)

    def _receive_controller(self, ip: str, _value: JsonValue) -> None:
        self.peers.discover([ip])

    def _receive_heartbeat(self, machine_id: str, _value: JsonValue) -> None:
        self.machines.record_alive(self.clock(), machine_id)

    def _receive_machine(self, machine_id: str, value: JsonValue) -> None:
        self.machines.observe_record(self.clock(), machine_id, value)

    def _receive_tombstones(self, bucket_name: str, bucket: str) -> None:
        self.machines.observe_departed(RecordKind.TOMBSTONES.key(bucket_name), bucket)

    def _receive_rollout(self, service: str, value: Mapping[str, int]) -> None:
        self.evidence.record_revision(service, value["n"])
