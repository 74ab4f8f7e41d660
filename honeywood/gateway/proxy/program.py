"""The proxy's program: what it wants to know, and the loops that bring it there."""

import asyncio

from honeywood.gateway.configuration.model import Limits
from honeywood.gateway.configuration.packing import unpack
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.dissemination.backoff import INITIAL_DELAY_S, Backoff
from honeywood.gateway.dissemination.chunks import ChunkAssembler
from honeywood.gateway.dissemination.keys import RecordKind, kind_of, name_of
from honeywood.gateway.dissemination.messages import Requester
from honeywood.gateway.dissemination.publisher import MAX_HOLD_S, UNPACED_BYTES, Publisher
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.rendezvous import rank
from honeywood.gateway.dissemination.retired_machines import MAX_DISCONNECTED_S, RetiredMachines
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.errors import CallFailed
from honeywood.gateway.metrics import Metrics
from honeywood.gateway.program import COUNTS_INTERVAL_S, Program
from honeywood.gateway.proxy.app import App
from honeywood.gateway.proxy.connections import ConnectionPool
from honeywood.gateway.proxy.count_records import CountRecords
from honeywood.gateway.proxy.fleet import FleetSize
from honeywood.gateway.proxy.forwarding import Forwarder
from honeywood.gateway.proxy.invariants import InvariantChecks
from honeywood.gateway.proxy.polling import poll_pause
from honeywood.gateway.rollout import record
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.attempts import AttemptPolicy
from honeywood.gateway.routing.budget import RetryBudget
from honeywood.gateway.routing.endpoints import LOST, Endpoints
from honeywood.gateway.routing.routes import RouteTable
from honeywood.gateway.rpc.connection import Connection
from honeywood.gateway.rpc.server import HttpServer

BACKOFF_MOST_S = 1.0  # for which one that doesn't answer isn't asked
ASKS_IN_A_ROW = 8  # of one controller while it has more to tell
DOUBT_S = 10.0  # in which controllers have told again all that they know
TIDY_S = 0.5  # between looks at idle connections
UNREADY_SEEN_S = 2.2  # in which the platform has noticed a proxy that isn't ready (two misses of 1 s)
STOP_MARGIN_S = 0.5  # of the grace that is left for the end of the process
STARTING_S = 1.0  # in which one without a configuration asks no relay: it may have started too
SETTLE_S = 2.0  # a proxy with a configuration waits for endpoints before it calls itself ready
SAY_AGAIN_S = 5.0  # between lines of one trouble
LISTEN_PAUSE_S, POLL_PAUSE_S = 0.01, 0.05  # between turns of the loops, besides what they wait themselves


class Proxy(Program):
    """The data plane's process: its state, and the loops that keep it up to date."""

    def __init__(self, *given, random=None, connect=Connection.open, log=None):
        """`given` is what Program takes; `connect` opens connections to endpoints."""
        super().__init__(*given, log=log, random=random)
        s, self.app = self.settings, App(self)
        self.table, self.limits, self.config_at, self.server = None, Limits(), None, None
        self.endpoints, self.budgets, self.fleet = Endpoints(), {}, FleetSize(self.clock)
        self.stage = RolloutTrafficPolicy(
            self.endpoints, s.bounds.canary_share, s.bounds.canary_slack, self.fronts
        )
        self.pool, self.tasks = ConnectionPool(self.clock, connect), set()
        self.policy = AttemptPolicy(self.budget_of, self.fronts, self.stage, self.endpoints.max_connections)
        parts = self.endpoints, self.policy, self.stage, self.pool, self.budget_of
        self.invariants = InvariantChecks(self, self.on_violation)
        self.forwarder = Forwarder(self.clock, self.random, s.zone, *parts, self.invariants.attempt_begins)
        self.publisher = Publisher(self.store_incarnation(), self.hear, link_bytes_per_s=s.link_bytes_per_s)
        store, backoff = self.publisher.store, Backoff(self.random, BACKOFF_MOST_S)
        self.retired, self.doubted_at = RetiredMachines(store), None
        self.counts = CountRecords(self.stage, self.clock, s.node, self.incarnation, store)
        self.assembler = ChunkAssembler()
        shared = store, self.assembler, self.caller, self.who, backoff
        self.subscriber = Subscriber(*shared, lambda: self.publisher.max_response_bytes)
        self.poller = Subscriber(*shared, self.poll_max_bytes, self.counts.records_for)
        self.controllers, self.relays = [ip for ip, _ in s.seeds], []
        self.turn, self.met_majority = 0, False
        self.started_at = self.listened_at = self.clock()  # `listen` was answered last

    def configuration_version(self):
        """The version in force here, in digits as operators send it."""
        return f"{self.table.version:08x}" if self.table else None

    def discover_controllers(self, controllers):
        """Controllers that are told of."""
        self.controllers += [ip for ip in controllers if ip not in self.controllers]

    def lose(self, keys):
        """Records of controllers have lapsed: whoever isn't a seed is asked no more."""
        seeds = {ip for ip, _ in self.settings.seeds}
        for ip in {name_of(key) for key in keys} - seeds:
            self.controllers = [one for one in self.controllers if one != ip]
            self.counts.forget(ip)
            for subscriber in (self.subscriber, self.poller):
                subscriber.forget(ip)

    def start(self, work):
        """A task of `work` that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def budget_of(self, service):
        """A service's RetryBudget."""
        if service not in self.budgets:
            bounds = self.settings.bounds
            self.budgets[service] = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_win_s)
        return self.budgets[service]

    def fronts(self):
        """How many proxies share what all may do together."""
        return self.fleet.count()

    # news
    def who(self):
        """Who asks for news."""
        s = self.settings
        return Requester(s.node, s.ip, s.zone, self.incarnation, is_proxy=True)

    def hear(self, key, value):
        """A record has come, or has changed."""
        kind, name = kind_of(key), name_of(key)
        if kind == RecordKind.CONFIGURATION:
            self.hear_config(read_configuration(unpack(value), hashed_keys=True))
        elif kind == RecordKind.MACHINE:
            self.hear_endpoint(name, value)
        elif kind == RecordKind.ROLLOUT:
            self.stage.update(self.clock(), record.decode(value))
        elif kind == RecordKind.CONTROLLER:
            self.discover_controllers([name])

    def hear_config(self, read):
        """Another configuration is in force here."""
        self.table, self.limits = RouteTable(read), read.limits
        self.config_at = self.config_at or self.clock()
        most = self.endpoints.max_connections
        most.clear()
        most.update({name: service.max_connections for name, service in read.services.items()})
        self.log.info("configuration")

    def hear_endpoint(self, id, value):
        """An endpoint has changed; one that leaves service keeps no idle connection."""
        now = self.clock()
        self.retired.observe(now, id, value["state"])
        endpoint, left = self.endpoints.update(now, id, value)
        if left:
            self.pool.close_idle(endpoint)

    async def listen(self):
        """Asks its relay for news, held until there are some; where that one is silent, the next above it."""
        s, now, backoff = self.settings, self.clock(), self.subscriber.backoff
        starting = self.table is None and now - self.started_at < STARTING_S
        relays = [] if starting else self.relays
        places = [(ip, s.proxy_port) for ip in relays if not backoff.remaining_s(ip, now)]
        places += [(ip, s.controller_port) for ip in backoff.available(rank(self.controllers, s.node), now)]
        for ip, port in places:
            try:
                response = await self.subscriber.poll(ip, port, MAX_HOLD_S)
            except CallFailed:
                continue
            self.listened_at = self.clock()
            return await asyncio.sleep(min(MAX_HOLD_S, response.retry_after_s or 0.0))
        await asyncio.sleep(INITIAL_DELAY_S)

    async def poll(self):
        """Asks one controller after the other, of those that hear a majority, for what was missed, and tells
        it this proxy's counts: whoever is cut off from the others is not the only one asked for long."""
        self.turn += 1
        ring = rank(self.controllers, self.settings.node)
        start = self.turn % len(ring)
        for ip in self.poller.backoff.available(ring[start:] + ring[:start], self.clock()):
            asked_at, answer = await self.ask_controller(ip)
            if answer is not None and answer.in_quorum:
                self.met_quorum(asked_at, answer)
                pause_s = poll_pause(
                    self.stage.has_active_rollout, self.fronts(), len(self.controllers), self.random.random()
                )
                return await asyncio.sleep(pause_s)
        self.log.info("no controller answers", min_interval_s=SAY_AGAIN_S)
        await asyncio.sleep(INITIAL_DELAY_S)

    async def ask_controller(self, ip):
        """(when it was asked last, its last Answer or None): again while it has more to tell."""
        for _ in range(ASKS_IN_A_ROW):
            asked_at = self.clock()  # an answer may have lain here unread while this process was frozen
            try:
                answer = await self.poller.poll(ip, self.settings.controller_port, 0.0)
            except CallFailed:
                return asked_at, None
            if answer.fleet is not None:
                self.relays = answer.fleet.relays
                self.counts.held_by(ip, answer.counts_number or 0)
                self.fleet.report(ip, answer.fleet.proxy_count)
            if not answer.has_more or self.poll_most():
                break
        return asked_at, answer

    def met_quorum(self, asked_at, answer):
        """A controller that hears a majority has answered."""
        if answer.is_complete:  # else what ends a stage may be among what was not told
            if self.met_majority and asked_at - self.stage.controller_contact_at > MAX_DISCONNECTED_S:
                self.doubt()
            self.stage.controller_contact_at = asked_at
        self.met_majority = True

    def poll_most(self):
        """The most bytes of an answer to a poll: few while `listen` hears the first configuration, since each
        controller that is asked besides would tell all that it holds once more."""
        listens = self.clock() - self.listened_at < MAX_HOLD_S
        return UNPACED_BYTES if self.table is None and listens else None

    def poll_max_bytes(self):
        """The most bytes of the next answer to a poll."""
        most = self.publisher.max_response_bytes
        return min(most, self.poll_most() or most)

    @property
    def ready(self):
        """Whether it calls itself ready for clients."""
        if self.stopping.is_set() or self.table is None:
            return False
        if not self.met_majority:  # the configuration may be that of a controller cut off from the others
            if self.clock() - self.config_at < self.settings.bounds.contact_s:
                return False
            self.log.info("ready without a controller that hears a majority", min_interval_s=SAY_AGAIN_S)
        known = self.table.services <= set(self.endpoints.by_service)
        return known or self.clock() - self.config_at > SETTLE_S

    def doubt(self):
        """After so long a cut that news of machines that left may have been dropped meanwhile: asks for all
        anew, and takes for lost whichever machine nobody tells of."""
        self.publisher.store.mark_stale(RecordKind.MACHINE)
        self.subscriber.positions.clear()
        self.poller.positions.clear()
        self.doubted_at = self.clock()

    async def tidy(self):
        """Ends what is too old, and what nobody told of again after a doubt."""
        now, store = self.clock(), self.publisher.store
        self.invariants.look(now)
        self.pool.close_expired(self.endpoints.by_id.values())
        self.retired.evict(now)
        self.lose(key for key in store.prune() if key.startswith(RecordKind.CONTROLLER.prefix))
        if self.doubted_at is not None and now - self.doubted_at > DOUBT_S:
            self.doubted_at = None
            for key in store.stale_keys(RecordKind.MACHINE):
                store.put(key, Stamp.of(0), {**store.get(key), "state": LOST})

    async def count(self):
        """A line of what was done since the start, and of what stands now."""
        endpoints = self.endpoints.by_id.values()
        self.log.info(
            "counts",
            **self.forwarder.counts,
            **self.app.refusals,
            **self.violations(),
            dialled=self.pool.opened,
            connections=sum(endpoint.connections for endpoint in endpoints),
            machines=len(endpoints),
            fronts=self.fronts(),
            told=dict(self.publisher.sent_bytes),
            called=dict(self.caller.bytes_by_path),
            ready=self.ready,
        )

    def on_violation(self, violation, details):
        """What must always hold didn't: a fault of ours, which has to be seen."""
        self.log.info("invariant violated", min_interval_s=SAY_AGAIN_S, what=violation.value, details=details)

    def violations(self):
        """Violated invariants by name, for counts and metrics."""
        return {f"violated: {one.value}": count for one, count in self.invariants.violations.items()}

    def metrics(self):
        """Sums since the start, and what stands now."""
        endpoints = list(self.endpoints.by_id.values())
        events = {**self.forwarder.counts, **self.app.refusals, **self.violations()}
        gauges = {
            "ready": self.ready,
            "config_version": self.table.version if self.table else 0,
            "connections": sum(endpoint.connections for endpoint in endpoints),
            "machines": len(endpoints),
            "proxies": self.fronts(),
            "open_requests": len(self.forwarder.open_requests),
            "open_attempts": sum(endpoint.in_flight for endpoint in endpoints),
            "connections_opened": self.pool.opened,
        }
        return Metrics(events, gauges)

    async def run(self):
        """Serves until the platform says to stop; then what is at work ends within the grace."""
        s = self.settings
        self.server = HttpServer(self.app)
        await self.server.open([s.listen.http, s.listen.ready, (s.ip, s.proxy_port)])
        await self.metrics_endpoint.open(self.server)
        self.log.info("started", role=s.role)
        self.begin()
        await self.wait_until_stopped()
        self.log.info("stopping")
        await asyncio.sleep(UNREADY_SEEN_S)
        await self.server.close(s.bounds.grace_s - UNREADY_SEEN_S - STOP_MARGIN_S)
        self.log.info("stopped")

    def begin(self):
        """Starts the loops."""
        self.periodic_tasks.start(self.listen, LISTEN_PAUSE_S)
        self.periodic_tasks.start(self.poll, POLL_PAUSE_S)
        self.periodic_tasks.start(self.tidy, TIDY_S)
        self.periodic_tasks.start(self.count, COUNTS_INTERVAL_S)
