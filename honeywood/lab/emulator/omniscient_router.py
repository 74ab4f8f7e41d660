"""An upper bound for routing: the choices of a router that sees each machine's true queue and health."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywood.gateway.proxy.program import Proxy
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.pending_request import PendingRequest
    from honeywood.lab.emulator.machine import Machine
    from honeywood.lab.emulator.machine_network import MachineNetwork

FAILURE_COST = 9
"""The cost of a certain failure, in units of the cost of one full set of slots at normal speed."""


def best_endpoint(
    machines: MachineNetwork, proxy: Proxy, now: float, request: PendingRequest
) -> Endpoint | None:
    """Return the endpoint with the lowest cost that the proxy may use; None if there is none."""
    best: tuple[float, Endpoint] | None = None
    for machine in machines.running(request.service):
        endpoint = proxy.endpoints.by_id.get(machine.id)
        if endpoint is None or proxy.policy.rejection(now, request, endpoint) is not None:
            continue
        cost = _cost(machine)
        if best is None or cost < best[0]:
            best = cost, endpoint
    return best[1] if best else None


def _cost(machine: Machine) -> float:
    queue = (machine.running + len(machine.queue)) / machine.slots
    failing_share = machine.failing_share + machine.lost_share + machine.stray_share
    return queue * machine.work_factor + machine.work_factor / 4 + FAILURE_COST * failing_share
