"""The controller's program: creates its components, connects them, and runs their periodic tasks."""

from __future__ import annotations

import time

from honeywood.gateway.controller import disk_health, stall_detector
from honeywood.gateway.controller.app import App
from honeywood.gateway.controller.configuration_orders import ConfigurationOrders
from honeywood.gateway.controller.contacts import Contacts
from honeywood.gateway.controller.count_retention import is_count_needed
from honeywood.gateway.controller.handover import Handover
from honeywood.gateway.controller.machine_service import MachineService
from honeywood.gateway.controller.membership import Membership
from honeywood.gateway.controller.operations import Operations
from honeywood.gateway.controller.peer_polling import PeerPolling
from honeywood.gateway.controller.poll_service import PollService
from honeywood.gateway.controller.proxy_fleet import ProxyFleet
from honeywood.gateway.controller.record_router import RecordRouter
from honeywood.gateway.controller.register_access import RegisterAccess
from honeywood.gateway.controller.register_publication import RegisterPublication
from honeywood.gateway.controller.replication import Replication
from honeywood.gateway.controller.rollout_evidence import RolloutEvidence
from honeywood.gateway.controller.rollout_orders import RolloutOrders
from honeywood.gateway.controller.rollout_steering import RolloutSteering
from honeywood.gateway.controller.stall_detector import StallDetector
from honeywood.gateway.controller.status import ControllerStatus
from honeywood.gateway.dissemination.epochs import EpochClock
from honeywood.gateway.dissemination.keys import RecordKind, name_of
from honeywood.gateway.dissemination.local_records import LocalRecords
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.program import COUNTS_INTERVAL_S, Program
from honeywood.gateway.register.paged_caller import PagedCaller
from honeywood.gateway.register.paged_responder import PagedResponder
from honeywood.gateway.register.register import Register
from honeywood.gateway.register.row_store import RowStore
from honeywood.gateway.rpc.server import HttpServer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.dissemination.messages import Requester
    from honeywood.gateway.dissemination.record import JsonValue
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.metrics import Metrics
    from honeywood.gateway.register.persistent_state import Store
    from honeywood.gateway.register.replacement import DiskState
    from honeywood.gateway.rpc.client import Caller

# Seconds between two runs of each periodic task.
SYNCHRONIZE_INTERVAL_S = 0.1
STEER_INTERVAL_S = 0.1
PUBLISH_REGISTER_INTERVAL_S = 1.0
MAINTENANCE_INTERVAL_S = 0.5
SAVE_ROWS_INTERVAL_S = 0.5
CLOSE_MARGIN_S = 1.0  # seconds of the grace period that are reserved for ending the process
HANDOVER_SHARE = 0.5  # share of the grace period within which a member hands its place over


class Controller(Program):
    """One controller; its components are created in the order of their dependencies."""

    def __init__(
        self,
        settings: Settings | None = None,
        caller: Caller | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        *,
        random: Random | None = None,
        disk: Callable[[str], Store] = RowStore,
        log: EventLog | None = None,
    ) -> None:
        """Create the components; `disk` opens the data folder, the other parameters are those of Program."""
        super().__init__(settings, caller, clock, wall_clock, log, random)
        self._make_store()
        self.register = Register(self.settings, PagedCaller(self.caller), self.random, self.log, disk)
        self._make_peers()
        self._make_machines()
        self._make_rollouts()
        self._make_calls()
        self.status = ControllerStatus(self)

    def _make_store(self) -> None:
        """Create the store of records and the components that publish this controller's records."""
        self.publisher = Publisher(
            self.store_incarnation(),
            self.on_record,
            self.on_poll,
            self.settings.link_bytes_per_s,
            is_retained=is_count_needed,
        )
        self.store, self.epochs = self.publisher.store, EpochClock()
        self.local_records = LocalRecords(self.store, int(self.incarnation, 16), self.is_local)
        self.publication = RegisterPublication(self.store)

    def _make_peers(self) -> None:
        """Create the components for the other controllers and the register's members."""
        settings, clock = self.settings, self.clock
        self.contacts = Contacts(
            settings.ip,
            self.store.incarnation,
            clock(),
            settings.tolerated_failures,
            lambda: self.register.membership.members,
        )
        self.peers = PeerPolling(
            settings,
            self.publisher,
            self.caller,
            self.random,
            self.contacts,
            self.disk_state,
            clock,
            self.periodic_tasks.start,
        )
        self.membership = Membership(
            settings, self.register, self.contacts, self.peers, self.publication.publish, clock, self.log
        )
        self.handover = Handover(
            settings, self.register, self.membership, self.contacts, self.peers, clock, self.log
        )
        self.replication = Replication(self.store, self.contacts, clock)

    def _make_machines(self) -> None:
        """Create the components for machines and proxies."""
        self.machine_service = MachineService(
            self.store,
            self.settings.heartbeat_interval_s,
            self.register,
            self.contacts,
            self.replication,
            self.clock,
            self.log,
        )
        self.machines = self.machine_service.machines
        self.fleet = ProxyFleet(self.settings.ip, self.store, self.contacts, self.local_records.publish)

    def _make_rollouts(self) -> None:
        """Create the components for rollouts."""
        self.evidence = RolloutEvidence(self.store, self.fleet, self.clock)
        self.rollout_steering = RolloutSteering(
            self.settings.ip,
            self.store,
            self.register,
            self.contacts,
            self.evidence,
            self.publication,
            self.clock,
            self.log,
        )
        self.router = RecordRouter(self.peers, self.machines, self.evidence, self.clock)

    def _make_calls(self) -> None:
        """Create the components that answer calls."""
        settings, clock = self.settings, self.clock
        access = RegisterAccess(self.register, self.publication)
        self.stalls = StallDetector(clock, self.log)
        self.configuration_orders = ConfigurationOrders(access, clock, self.log)
        self.rollout_orders = RolloutOrders(
            access,
            self.store,
            self.evidence,
            self.peers,
            self.stalls,
            settings.bounds.ack_s,
            clock,
            self.log,
        )
        operations = Operations(self.machine_service, self.configuration_orders, self.rollout_orders)
        self.polls = PollService(
            settings.ip,
            self.publisher,
            self.contacts,
            self.peers,
            self.fleet,
            self.replication,
            self.disk_state,
            clock,
        )
        self.app = App(
            operations,
            self.polls,
            PagedResponder(self.register.serve, clock),
            self.metrics_endpoint,
            settings.controller_port,
            clock,
            self.log,
        )

    def configuration_version(self) -> str | None:
        """Return the version of the configuration in the store, for the log."""
        version = self.publication.configuration_version
        return None if version is None else f"{version:08x}"

    def discover_controllers(self, controllers: Iterable[str]) -> None:
        """Add the seeds of a settings file that has changed."""
        self.peers.discover(controllers)

    def metrics(self) -> Metrics:
        """Return a reading of the metrics."""
        return self.status.metrics()

    @property
    def in_quorum(self) -> bool:
        """Whether enough other controllers answer this one."""
        return self.contacts.in_quorum(self.clock())

    def disk_state(self) -> DiskState:
        """Return the state of this disk as reported to other controllers."""
        return self.membership.disk

    def is_local(self, key: str) -> bool:
        """Return whether a record was published by this controller, in this or an earlier incarnation."""
        ip = self.settings.ip
        return key == RecordKind.CONTROLLER.key(ip) or key.startswith(RecordKind.PROXY_LOCATION.key(ip, ""))

    def on_record(self, key: str, value: JsonValue) -> None:
        """Process a record that the store received from this or another program."""
        self.local_records.on_update(key)
        self.router.route(key, value)
        if key == RecordKind.CONFIGURATION:
            self._log_configuration(str(value))

    def _log_configuration(self, packed: str) -> None:
        """Log that this controller publishes another configuration, and which controller sent it."""
        key = RecordKind.CONFIGURATION.value
        transfer = self.peers.subscriber.transfers.of(key, self.store.stamp(key))
        peer = transfer.peer if transfer else "register"
        self.log.info("configuration published", characters=len(packed), peer=peer)

    def on_poll(self, requester: Requester, revision: int) -> None:
        """Record a poll; its sender holds all changes of the local store up to `revision`."""
        self.polls.record_requester(requester, revision)

    async def maintain(self) -> None:
        """Expire machines, proxies, and records whose owners have ended."""
        now = self.clock()
        self.machine_service.expire(now)
        self.fleet.refresh(now)
        self.store.observe_epoch(self.epochs.advance(now, self.store.epoch, self.in_quorum))
        self.local_records.refresh()
        if self.store.prune():
            published = {name_of(key) for key, _ in self.store.items_of(RecordKind.CONTROLLER)}
            self.peers.forget_others(
                published | {*self.register.membership.members} | self.contacts.observers(now)
            )

    async def run(self) -> None:
        """Serve until the program is stopped."""
        settings = self.settings
        await self.register.manager.open()
        server = HttpServer(self.app)
        await server.open([settings.listen.ctl, (settings.ip, settings.controller_port)])
        await self.metrics_endpoint.open(server)
        self.log.info("started", role=settings.role)
        self.begin()
        await self.wait_until_stopped()
        stopping_at = self.clock()
        await self.leave()
        await server.close(settings.bounds.grace_s - CLOSE_MARGIN_S - (self.clock() - stopping_at))
        self.log.info("stopped")

    async def leave(self) -> None:
        """Hand this controller's place in the register over, if another controller can take it."""
        await self.handover.run(HANDOVER_SHARE * self.settings.bounds.grace_s)

    def begin(self) -> None:
        """Publish this controller's own record and the rows on its disk, and start the periodic tasks."""
        self.local_records.publish(RecordKind.CONTROLLER.key(self.settings.ip), self.settings.node)
        self.machines.restore(self.register.state.heartbeats)
        self.peers.start()
        self.periodic_tasks.start(self.membership.synchronize, SYNCHRONIZE_INTERVAL_S)
        self.periodic_tasks.start(self.membership.replace_unusable_member, SYNCHRONIZE_INTERVAL_S)
        self.periodic_tasks.start(self.membership.publish_register, PUBLISH_REGISTER_INTERVAL_S)
        self.periodic_tasks.start(self.maintain, MAINTENANCE_INTERVAL_S)
        self.periodic_tasks.start(self.rollout_steering.steer, STEER_INTERVAL_S)
        self.periodic_tasks.start(self.stalls.tick, stall_detector.TICK_INTERVAL_S)
        self.periodic_tasks.start(self.machine_service.save_rows, SAVE_ROWS_INTERVAL_S)
        self.periodic_tasks.start(self.membership.check_disk, disk_health.CHECK_INTERVAL_S)
        self.periodic_tasks.start(self.status.log_counts, COUNTS_INTERVAL_S)
