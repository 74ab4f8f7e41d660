"""The handlers of the calls of machines and operators: each decodes the body and returns the answer."""

from __future__ import annotations

from honeywood.gateway.configuration import packing
from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.configuration.route_cache import RouteCache
from honeywood.gateway.controller import heartbeat as heartbeats
from honeywood.gateway.controller.call import CallName
from honeywood.gateway.controller.rollout_orders import RolloutOrder

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from honeywood.gateway.controller.call import Call
    from honeywood.gateway.controller.configuration_orders import ConfigurationOrders
    from honeywood.gateway.controller.machine_service import MachineService
    from honeywood.gateway.controller.rollout_orders import RolloutOrders
    from honeywood.gateway.rollout.record import Rollout

    Answer = bytes | Mapping[str, object]  # a raw body, or an object to encode as JSON
    Handler = Callable[[Call], Awaitable[Answer]]


class Operations:
    """The handlers of the public calls; each raises a GatewayError if the call is refused."""

    def __init__(
        self, machines: MachineService, configurations: ConfigurationOrders, rollouts: RolloutOrders
    ) -> None:
        """Pass calls on to these services."""
        self.machines, self.configurations, self.rollouts = machines, configurations, rollouts
        self.route_cache = RouteCache()
        self.handlers: dict[CallName, Handler] = {
            CallName.HEARTBEAT: self.heartbeat,
            CallName.LEAVE: self.leave,
            CallName.REPLACE_CONFIGURATION: self.replace_configuration,
            CallName.READ_CONFIGURATION: self.read_configuration,
            CallName.START_ROLLOUT: self.start_rollout,
            CallName.READ_ROLLOUT: self.read_rollout,
        }

    async def heartbeat(self, call: Call) -> Answer:
        """Process a machine's heartbeat."""
        body = read_json(call.body, CallName.HEARTBEAT, call.peer)
        heartbeat = heartbeats.decode_heartbeat(call.subject, body, call.peer)
        await self.machines.heartbeat(call.subject, heartbeat)
        return {}

    async def leave(self, call: Call) -> Answer:
        """Process a machine's departure."""
        heartbeats.check_machine_id(CallName.LEAVE, call.subject, call.peer)
        await self.machines.leave(call.subject)
        return {}

    async def replace_configuration(self, call: Call) -> Answer:
        """Replace the configuration by an operator's."""
        version = read_configuration(call.body, call.peer, route_cache=self.route_cache).version
        result = await self.configurations.replace(version, call.body, call.peer)
        return {"outcome": result.outcome, "ver": f"{result.version:08x}"}

    async def read_configuration(self, call: Call) -> bytes:
        """Return the current configuration as it was sent."""
        return packing.unpack(await self.configurations.read(call.peer), call.peer)

    async def start_rollout(self, call: Call) -> Answer:
        """Start a rollout that an operator ordered."""
        order = RolloutOrder.decode(read_json(call.body, CallName.START_ROLLOUT, call.peer))
        return _encode_rollout(await self.rollouts.start(order, call.peer, call.has_left))

    async def read_rollout(self, call: Call) -> Answer:
        """Return the state of a service's rollout."""
        return _encode_rollout(await self.rollouts.read(call.subject, call.peer))


def _encode_rollout(rollout: Rollout) -> Answer:
    """Return the answer that describes a rollout to operators."""
    return {"state": rollout.state, "to_ver": rollout.version}
