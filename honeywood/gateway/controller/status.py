"""A controller's report on itself: the event `counts` in its log, and its metrics."""

from __future__ import annotations

from collections import Counter

from honeywood.gateway.controller.machine_record import MachineRecord
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.metrics import Metrics

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.controller.program import Controller


class ControllerStatus:
    """Reads the status of one controller."""

    def __init__(self, controller: Controller) -> None:
        """Report the status of `controller`."""
        self.controller = controller

    def _machines_by_state(self) -> Counter[str]:
        return Counter(
            MachineRecord.decode(value).state
            for _, value in self.controller.store.items_of(RecordKind.MACHINE)
        )

    async def log_counts(self) -> None:
        """Log the totals since the start, and the current values."""
        controller = self.controller
        controller.log.info(
            "counts",
            machines=dict(self._machines_by_state()),
            fronts=len(controller.fleet.proxies),
            told=dict(controller.publisher.sent_bytes),
            called=dict(controller.caller.bytes_by_path),
            joined=controller.in_quorum,
            sound=controller.register.membership.intact,
            disk=controller.membership.disk.value,
            epoch=controller.register.membership.epoch,
            counts=controller.register.membership.is_voter,
            refused=controller.app.refused.total(),
            **controller.app.refused,
        )

    def metrics(self) -> Metrics:
        """Return the current metrics."""
        controller = self.controller
        gauges = {
            "in_quorum": controller.in_quorum,
            "register_synced": controller.register.membership.intact,
            "epoch": controller.register.membership.epoch,
            "config_version": controller.publication.configuration_version or 0,
            "proxies": len(controller.fleet.proxies),
        }
        gauges |= {f"machines_{state}": count for state, count in self._machines_by_state().items()}
        return Metrics(controller.app.refused, gauges)
