"""What a controller reports of itself: the line `counts` of its log, and its metrics."""

from __future__ import annotations

from collections import Counter

from honeywood.gateway.controller.machine_record import MachineRecord
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.metrics import Metrics

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.controller.program import Controller


class ControllerStatus:
    """Readings of one controller."""

    def __init__(self, controller: Controller) -> None:
        """Read from `controller`."""
        self.controller = controller

    def _machines_by_state(self) -> Counter[str]:
        return Counter(
            MachineRecord.decode(value).state
            for _, value in self.controller.store.items_of(RecordKind.MACHINE)
        )

    async def log_counts(self) -> None:
        """Log sums since the start, and present values."""
        one = self.controller
        one.log.info(
            "counts",
            machines=dict(self._machines_by_state()),
            fronts=len(one.fleet.proxies),
            told=dict(one.publisher.sent_bytes),
            called=dict(one.caller.bytes_by_path),
            joined=one.in_quorum,
            sound=one.register.membership.intact,
            disk=one.membership.disk.value,
            epoch=one.register.membership.epoch,
            counts=one.register.membership.is_voter,
            refused=one.app.refused.total(),
            **one.app.refused,
        )

    def metrics(self) -> Metrics:
        """Return a reading of the metrics."""
        one = self.controller
        gauges = {
            "in_quorum": one.in_quorum,
            "register_synced": one.register.membership.intact,
            "epoch": one.register.membership.epoch,
            "config_version": one.publication.configuration_version or 0,
            "proxies": len(one.fleet.proxies),
        }
        gauges |= {f"machines_{state}": count for state, count in self._machines_by_state().items()}
        return Metrics(one.app.refused, gauges)
