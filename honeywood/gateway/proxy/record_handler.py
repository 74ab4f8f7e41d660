"""Applies records that were added to the proxy's store."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.configuration.packing import unpack
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.configuration.route_cache import RouteCache
from honeywood.gateway.dissemination.keys import RecordKind, kind_of, name_of
from honeywood.gateway.proxy.activation_schedule import ActivationSchedule
from honeywood.gateway.rollout import record as rollout_record
from honeywood.gateway.routing.endpoint_record import EndpointRecord

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywood.gateway.dissemination.retired_machines import RetiredMachines
    from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
    from honeywood.gateway.proxy.connection_pool import ConnectionPool
    from honeywood.gateway.proxy.known_peers import KnownPeers
    from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
    from honeywood.gateway.routing.endpoint_table import EndpointTable

    JsonValue = Any  # of a record; each kind has its own decoder


@dataclass(frozen=True, slots=True)
class Activation:
    """A configuration took effect: the length of its packed text, and the seconds to read and activate it."""

    characters: int
    duration_s: float


class RecordHandler:
    """Updates the proxy's state by one record at a time."""

    def __init__(
        self,
        clock: Callable[[], float],
        configuration: ActiveConfiguration,
        endpoints: EndpointTable,
        pool: ConnectionPool,
        traffic_policy: RolloutTrafficPolicy,
        retired_machines: RetiredMachines,
        peers: KnownPeers,
        on_configuration: Callable[[Activation], None],
        apply_s: float,
    ) -> None:
        """Builds the handler; `on_configuration` is called after another configuration has taken effect.

        A configuration must be in effect within `apply_s` seconds.
        """
        self.clock = clock
        self.configuration = configuration
        self.endpoints = endpoints
        self.pool = pool
        self.traffic_policy = traffic_policy
        self.retired_machines = retired_machines
        self.peers = peers
        self.on_configuration = on_configuration
        self.route_cache = RouteCache()
        self.activations = ActivationSchedule(clock, self._activate, apply_s)

    def apply(self, key: str, value: JsonValue) -> None:
        """Applies a record that is new or has changed.

        Raises:
            InvalidInput: The value can't be decoded.
        """
        kind, name = kind_of(key), name_of(key)
        if kind == RecordKind.CONFIGURATION:
            self.activations.submit(value)
        elif kind == RecordKind.MACHINE:
            self._apply_machine(name, value)
        elif kind == RecordKind.ROLLOUT:
            self.traffic_policy.update(self.clock(), rollout_record.decode(value))
        elif kind == RecordKind.CONTROLLER:
            self.peers.add_controllers([name])

    def _activate(self, packed: str) -> None:
        """Puts a configuration into effect."""
        started_at = self.clock()
        configuration = read_configuration(unpack(packed), hashed_keys=True, route_cache=self.route_cache)
        self.configuration.activate(configuration)
        self.endpoints.max_connections.clear()
        self.endpoints.max_connections.update(
            {name: service.max_connections for name, service in configuration.services.items()}
        )
        self.on_configuration(Activation(len(packed), self.clock() - started_at))

    def _apply_machine(self, id: str, value: dict[str, Any]) -> None:
        """Updates an endpoint, and closes its idle connections if it is out of service."""
        now = self.clock()
        record = EndpointRecord.decode(value)
        self.retired_machines.observe(now, id, record.state)
        endpoint = self.endpoints.update(now, id, record)
        if endpoint is not None:
            self.pool.close_idle(endpoint)
