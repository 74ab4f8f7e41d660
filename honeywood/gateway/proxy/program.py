"""The proxy's process: its parts, their connections, and its life cycle."""

from __future__ import annotations

import asyncio
import time

from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.chunks import ChunkAssembler
from honeywood.gateway.dissemination.keys import RecordKind, name_of
from honeywood.gateway.dissemination.messages import Requester
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.retired_machines import RetiredMachines
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.dissemination.transfers import Transfers
from honeywood.gateway.program import COUNTS_INTERVAL_S, Program
from honeywood.gateway.proxy import status
from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
from honeywood.gateway.proxy.app import App
from honeywood.gateway.proxy.client_handler import ClientHandler
from honeywood.gateway.proxy.connection_pool import ConnectionPool
from honeywood.gateway.proxy.controller_poller import ControllerPoller
from honeywood.gateway.proxy.endpoint_selector import EndpointSelector
from honeywood.gateway.proxy.fleet_size import FleetSize
from honeywood.gateway.proxy.forwarder import Forwarder
from honeywood.gateway.proxy.invariants import InvariantChecks, Violation
from honeywood.gateway.proxy.known_peers import KnownPeers
from honeywood.gateway.proxy.machine_revalidation import MachineRevalidation
from honeywood.gateway.proxy.peer_handler import PeerHandler
from honeywood.gateway.proxy.readiness import Readiness
from honeywood.gateway.proxy.record_handler import RecordHandler
from honeywood.gateway.proxy.request_counters import RequestCounters
from honeywood.gateway.proxy.response_writer import ResponseWriter
from honeywood.gateway.proxy.retry_budgets import RetryBudgets
from honeywood.gateway.proxy.rollout_reports import RolloutReports
from honeywood.gateway.proxy.update_subscription import UpdateSubscription
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.attempt_policy import AttemptPolicy
from honeywood.gateway.routing.endpoint_table import EndpointTable
from honeywood.gateway.rpc.connection import Connection
from honeywood.gateway.rpc.server import HttpServer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.metrics import Metrics
    from honeywood.gateway.proxy.connection_pool import Connect
    from honeywood.gateway.proxy.record_handler import Activation, JsonValue
    from honeywood.gateway.rpc.client import Caller

MAX_BACKOFF_S = 1.0  # the longest time for which a peer that doesn't respond is not polled
SUBSCRIPTION_PAUSE_S, POLL_PAUSE_S = 0.01, 0.05  # between rounds of the loops, beside the waits inside them
MAINTENANCE_INTERVAL_S = 0.5
UNREADY_DETECTION_S = 2.2  # in which the platform detects a proxy that isn't ready: two checks, 1 s apart
STOP_MARGIN_S = 0.5  # of the grace period, reserved for ending the process
LOG_INTERVAL_S = 5.0  # the shortest time between two log lines about one condition


class Proxy(Program):
    """The data plane's process."""

    def __init__(
        self,
        settings: Settings | None = None,
        caller: Caller | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        *,
        random: Random | None = None,
        connect: Connect = Connection.open,
        log: EventLog | None = None,
    ) -> None:
        """Builds the parts without starting any.

        Without `settings` the settings file is read. `caller` calls other programs, `connect` opens
        connections to endpoints. `clock` returns monotonic seconds, `wall_clock` the seconds since 1970.
        """
        super().__init__(settings, caller, clock, wall_clock, log, random)
        self.server: HttpServer | None = None
        self._build_state()
        self._build_data_plane(connect)
        self._build_updates()
        self._build_app()

    def _build_state(self) -> None:
        """Builds the state: configuration, endpoints, rollouts, the number of proxies, and readiness."""
        bounds = self.settings.bounds
        self.configuration = ActiveConfiguration(self.clock)
        self.endpoints = EndpointTable()
        self.fleet = FleetSize(self.clock)
        self.traffic_policy = RolloutTrafficPolicy(
            self.endpoints, bounds.canary_share, bounds.canary_slack, self.fleet.count
        )
        self.readiness = Readiness(
            self.configuration,
            self.endpoints,
            self.stopping,
            bounds.contact_s,
            self._log_unconfirmed,
        )

    def _build_data_plane(self, connect: Connect) -> None:
        """Builds the parts that forward requests."""
        bounds = self.settings.bounds
        budgets = RetryBudgets(bounds.retry_ratio, bounds.retry_slack, bounds.retry_win_s)
        self.counters = RequestCounters()
        self.pool = ConnectionPool(self.clock, connect)
        self.policy = AttemptPolicy(
            budgets.of, self.fleet.count, self.traffic_policy, self.endpoints.max_connections
        )
        self.selector = EndpointSelector(
            self.clock, self.random, self.settings.zone, self.endpoints, self.policy, self.traffic_policy
        )
        self.invariants = InvariantChecks(self, self._log_violation)
        self.forwarder = Forwarder(
            self.clock,
            self.random,
            self.selector,
            self.endpoints,
            self.policy,
            self.traffic_policy,
            self.pool,
            budgets.of,
            self.counters,
            self.invariants.check_attempt,
        )

    def _build_updates(self) -> None:
        """Builds the parts that receive updates and send reports."""
        settings = self.settings
        self.publisher = Publisher(
            self.store_incarnation(), self._apply_record, link_bytes_per_s=settings.link_bytes_per_s
        )
        store, backoff = self.publisher.store, Backoff(self.random, MAX_BACKOFF_S)
        self.peers = KnownPeers(ip for ip, _ in settings.seeds)
        self.retired_machines = RetiredMachines(store)
        self.records = RecordHandler(
            self.clock,
            self.configuration,
            self.endpoints,
            self.pool,
            self.traffic_policy,
            self.retired_machines,
            self.peers,
            self._log_configuration,
            settings.bounds.apply_s,
        )
        self.reports = RolloutReports(
            self.traffic_policy,
            self.forwarder.sender.open_attempts,
            self.clock,
            settings.node,
            self.incarnation,
            store,
        )
        self.assembler, self.transfers = ChunkAssembler(store.large_records.restore), Transfers()
        subscriber = Subscriber(
            store,
            self.assembler,
            self.caller,
            self._requester,
            backoff,
            lambda: self.publisher.max_response_bytes,
            transfers=self.transfers,
        )
        self.subscription = UpdateSubscription(
            self.clock, settings, subscriber, self.peers, self.configuration
        )
        poll_subscriber = Subscriber(
            store,
            self.assembler,
            self.caller,
            self._requester,
            backoff,
            self._max_poll_bytes,
            self.reports.records_for,
            self.transfers,
        )
        self.revalidation = MachineRevalidation(self.clock, store, (subscriber, poll_subscriber))
        self.poller = ControllerPoller(
            self.clock,
            self.random,
            settings,
            poll_subscriber,
            self.subscription,
            self.peers,
            self.fleet,
            self.traffic_policy,
            self.reports,
            self.readiness,
            self.revalidation,
            self._log_no_controller,
        )

    def _build_app(self) -> None:
        """Builds the application that serves the proxy's listeners."""
        self.writer = ResponseWriter()
        self.app = App(
            self.configuration,
            ClientHandler(self.configuration, self.forwarder, self.counters),
            PeerHandler(self.publisher),
            self.writer,
            self.readiness,
            self.stopping,
            self.metrics_endpoint,
            self.settings.listen.ready[1],
            self.settings.proxy_port,
        )

    def _requester(self) -> Requester:
        """Returns the identity that this proxy sends in polls."""
        settings = self.settings
        return Requester(settings.node, settings.ip, settings.zone, self.incarnation, is_proxy=True)

    def _max_poll_bytes(self) -> int:
        """Returns the limit on the response to a poll of the controller poller."""
        limit = self.publisher.max_response_bytes
        return min(limit, self.subscription.max_poll_bytes() or limit)

    def _apply_record(self, key: str, value: JsonValue) -> None:
        self.records.apply(key, value)

    def _log_configuration(self, activation: Activation) -> None:
        """Logs that another configuration is in force, and how it arrived."""
        key, now = RecordKind.CONFIGURATION.value, self.clock()
        transfer = self.transfers.of(key, self.publisher.store.stamp(key))
        transfer_s = now - activation.duration_s - transfer.started_at if transfer else 0.0
        self.log.info(
            "configuration",
            characters=activation.characters,
            activation_s=round(activation.duration_s, 3),
            peer=transfer.peer if transfer else None,
            chunks=transfer.chunks if transfer else 0,
            transfer_s=round(transfer_s, 3),
        )

    def _log_violation(self, violation: Violation, details: str) -> None:
        """Logs an invariant that doesn't hold: a defect of this program that operators have to see."""
        what = violation.value
        self.log.info("invariant violated", min_interval_s=LOG_INTERVAL_S, what=what, details=details)

    def _log_unconfirmed(self) -> None:
        """Logs that the proxy is ready although no controller in quorum has confirmed its configuration."""
        self.log.info("ready without a controller that hears a majority", min_interval_s=LOG_INTERVAL_S)

    def _log_no_controller(self) -> None:
        """Logs that no controller in quorum responds to polls."""
        self.log.info("no controller answers", min_interval_s=LOG_INTERVAL_S)

    def configuration_version(self) -> str | None:
        """Returns the configuration version in effect, in hexadecimal digits."""
        return self.configuration.version_text

    def discover_controllers(self, controllers: Iterable[str]) -> None:
        """Adds the controllers that the settings file names."""
        self.peers.add_controllers(controllers)

    @property
    def ready(self) -> bool:
        """Whether the proxy reports itself ready for clients."""
        return self.readiness.is_ready()

    def metrics(self) -> Metrics:
        """Returns the current metrics."""
        return status.metrics(self)

    async def log_counts(self) -> None:
        """Logs counts since the start, and the current state."""
        self.log.info("counts", **status.log_fields(self))

    async def maintain(self) -> None:
        """Checks invariants, and drops expired connections and records."""
        now, store = self.clock(), self.publisher.store
        self.invariants.check(now)
        self.pool.close_expired(self.endpoints.by_id.values())
        self.retired_machines.evict(now)
        self._forget_controllers(key for key in store.prune() if key.startswith(RecordKind.CONTROLLER.prefix))
        self.revalidation.check()

    def _forget_controllers(self, keys: Iterable[str]) -> None:
        """Stops polling the controllers whose records have expired, unless they are seeds."""
        for ip in self.peers.remove_controllers(name_of(key) for key in keys):
            self.reports.forget(ip)
            self.subscription.subscriber.forget(ip)
            self.poller.subscriber.forget(ip)

    async def run(self) -> None:
        """Serves until the platform stops the proxy, then finishes open requests within the grace period."""
        settings = self.settings
        self.server = HttpServer(self.app)
        await self.server.open(
            [settings.listen.http, settings.listen.ready, (settings.ip, settings.proxy_port)]
        )
        await self.metrics_endpoint.open(self.server)
        self.log.info("started", role=settings.role)
        self.begin()
        await self.wait_until_stopped()
        self.log.info("stopping")
        await asyncio.sleep(UNREADY_DETECTION_S)
        await self.server.close(settings.bounds.grace_s - UNREADY_DETECTION_S - STOP_MARGIN_S)
        self.log.info("stopped")

    def begin(self) -> None:
        """Starts the loops."""
        self.periodic_tasks.start(self.subscription.poll_once, SUBSCRIPTION_PAUSE_S)
        self.periodic_tasks.start(self.poller.poll_once, POLL_PAUSE_S)
        self.periodic_tasks.start(self.maintain, MAINTENANCE_INTERVAL_S)
        self.periodic_tasks.start(self.log_counts, COUNTS_INTERVAL_S)
