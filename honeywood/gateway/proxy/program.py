"""The proxy's program: what it wants to know, and the loops that bring it there."""

import asyncio
from random import Random

from honeywood.gateway.configuration import config
from honeywood.gateway.dissemination.backoff import FIRST, Backoff
from honeywood.gateway.dissemination.history import CUT, History
from honeywood.gateway.dissemination.messages import Asker
from honeywood.gateway.dissemination.publisher import HOLD, SMALL, Publisher
from honeywood.gateway.dissemination.rendezvous import order
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.metrics import Figures
from honeywood.gateway.program import COUNTS, Program
from honeywood.gateway.proxy.app import App
from honeywood.gateway.proxy.connections import ConnectionPool
from honeywood.gateway.proxy.count_records import CountRecords
from honeywood.gateway.proxy.fleet import FleetSize
from honeywood.gateway.proxy.forwarding import Forwarder
from honeywood.gateway.proxy.invariants import InvariantChecks
from honeywood.gateway.proxy.polling import poll_pause
from honeywood.gateway.rollout import record
from honeywood.gateway.rollout.stage import Stage
from honeywood.gateway.routing.attempt_policy import AttemptPolicy
from honeywood.gateway.routing.retry_budget import RetryBudget
from honeywood.gateway.routing.endpoint_record import EndpointRecord
from honeywood.gateway.routing.endpoint_state import LOST
from honeywood.gateway.routing.endpoint_table import EndpointTable
from honeywood.gateway.routing.route_table import RouteTable
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

    def __init__(self, *given, random=None, connect=Connection.open):
        """`given` is what Program takes; `connect` opens connections to endpoints."""
        super().__init__(*given)
        s, self.app, self.random = self.settings, App(self), random or Random()
        self.table, self.limits, self.config_at, self.server = None, config.Limits(), None, None
        self.endpoints, self.budgets, self.fleet = EndpointTable(), {}, FleetSize(self.clock)
        self.stage = Stage(self.endpoints, s.bounds["canary_share"], s.bounds["canary_slack"], self.fronts)
        self.pool, self.tasks = ConnectionPool(self.clock, connect), set()
        self.policy = AttemptPolicy(self.budget_of, self.fronts, self.stage, self.endpoints.max_connections)
        parts = self.endpoints, self.policy, self.stage, self.pool, self.budget_of
        self.invariants = InvariantChecks(self, self.on_violation)
        self.forwarder = Forwarder(self.clock, self.random, s.zone, *parts, self.invariants.attempt_begins)
        self.publisher = Publisher(self.store_incarnation(), self.hear, rate=s.link)
        store, backoff = self.publisher.store, Backoff(self.random, BACKOFF_MOST_S)
        self.history, self.doubted_at = History(store), None
        self.counts = CountRecords(self.stage, self.clock, s.node, self.life, store)
        self.subscriber = Subscriber(self.publisher, self.caller, self.who, backoff)
        told = self.counts.records_for, self.poll_most
        self.poller = Subscriber(self.publisher, self.caller, self.who, backoff, *told)
        self.controllers, self.relays = [ip for ip, _ in s.seeds], []
        self.turn, self.met_majority = 0, False
        self.started_at = self.listened_at = self.clock()  # `listen` was answered last

    def config_held(self):
        """The version in force here, in digits as operators send it."""
        return f"{self.table.version:08x}" if self.table else None

    def found(self, controllers):
        """Controllers that are told of."""
        self.controllers += [ip for ip in controllers if ip not in self.controllers]

    def lose(self, keys):
        """Records of controllers have lapsed: whoever isn't a seed is asked no more."""
        seeds = {ip for ip, _ in self.settings.seeds}
        for ip in {key.partition("/")[2] for key in keys} - seeds:
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
            self.budgets[service] = RetryBudget(
                bounds["retry_ratio"], bounds["retry_slack"], bounds["retry_win_s"]
            )
        return self.budgets[service]

    def fronts(self):
        """How many proxies share what all may do together."""
        return self.fleet.count()

    # news
    def who(self):
        """Who asks for news."""
        s = self.settings
        return Asker(s.node, s.ip, s.zone, self.life, proxy=True)

    def hear(self, key, value):
        """A record has come, or has changed."""
        kind, _, name = key.partition("/")
        if kind == "config":
            self.hear_config(config.read(config.unpack(value), hashed=True))
        elif kind == "machine":
            self.hear_endpoint(name, value)
        elif kind == "rollout":
            self.stage.hear(self.clock(), record.decode(value))
        elif kind == "bourse":
            self.found([name])

    def hear_config(self, read):
        """Another configuration is in force here."""
        self.table, self.limits = RouteTable(read), read.limits
        self.config_at = self.config_at or self.clock()
        most = self.endpoints.max_connections
        most.clear()
        most.update({name: service.max_conns for name, service in read.services.items()})
        self.say("configuration")

    def hear_endpoint(self, id, value):
        """An endpoint has changed; one that leaves service keeps no idle connection."""
        now = self.clock()
        self.history.hear(now, id, value["state"])
        endpoint = self.endpoints.update(now, id, EndpointRecord.decode(value))
        if endpoint is not None:
            self.pool.close_idle(endpoint)

    async def listen(self):
        """Asks its relay for news, held until there are some; where that one is silent, the next above it."""
        s, now, backoff = self.settings, self.clock(), self.subscriber.backoff
        starting = self.table is None and now - self.started_at < STARTING_S
        relays = [] if starting else self.relays
        places = [(ip, s.proxy_port) for ip in relays if not backoff.rest(ip, now)]
        places += [(ip, s.controller_port) for ip in backoff.fit(order(self.controllers, s.node), now)]
        for ip, port in places:
            reply = await self.subscriber.ask(ip, port, HOLD)
            if reply.ok:
                self.listened_at = self.clock()
                return await asyncio.sleep(min(HOLD, reply.value.later_s or 0.0))
        await asyncio.sleep(FIRST)

    async def poll(self):
        """Asks one controller after the other, of those that hear a majority, for what was missed, and tells
        it this proxy's counts: whoever is cut off from the others is not the only one asked for long."""
        self.turn += 1
        ring = order(self.controllers, self.settings.node)
        start = self.turn % len(ring)
        for ip in self.poller.backoff.fit(ring[start:] + ring[:start], self.clock()):
            asked_at, answer = await self.ask_controller(ip)
            if answer is not None and answer.in_quorum:
                self.met_quorum(asked_at, answer)
                pause_s = poll_pause(
                    self.stage.active, self.fronts(), len(self.controllers), self.random.random()
                )
                return await asyncio.sleep(pause_s)
        self.say("no controller answers", SAY_AGAIN_S)
        await asyncio.sleep(FIRST)

    async def ask_controller(self, ip):
        """(when it was asked last, its last Answer or None): again while it has more to tell."""
        for _ in range(ASKS_IN_A_ROW):
            asked_at = self.clock()  # an answer may have lain here unread while this process was frozen
            reply = await self.poller.ask(ip, self.settings.controller_port, 0.0)
            if not reply.ok:
                return asked_at, None
            answer = reply.value
            if answer.fleet is not None:
                count, self.relays = answer.fleet
                self.counts.held_by(ip, answer.counted or 0)
                self.fleet.report(ip, count)
            if not answer.more or self.poll_most():
                break
        return asked_at, answer

    def met_quorum(self, asked_at, answer):
        """A controller that hears a majority has answered."""
        if answer.whole:  # else what ends a stage may be among what was not told
            if self.met_majority and asked_at - self.stage.heard_at > CUT:
                self.doubt()
            self.stage.heard_at = asked_at
        self.met_majority = True

    def poll_most(self):
        """The most bytes of an answer to a poll: few while `listen` hears the first configuration, since each
        controller that is asked besides would tell all that it holds once more."""
        listens = self.clock() - self.listened_at < HOLD
        return SMALL if self.table is None and listens else None

    @property
    def ready(self):
        """Whether it calls itself ready for clients."""
        if self.stopping.is_set() or self.table is None:
            return False
        if not self.met_majority:  # the configuration may be that of a controller cut off from the others
            if self.clock() - self.config_at < self.settings.bounds["contact_s"]:
                return False
            self.say("ready without a controller that hears a majority", SAY_AGAIN_S)
        known = self.table.services <= set(self.endpoints.by_service)
        return known or self.clock() - self.config_at > SETTLE_S

    def doubt(self):
        """After so long a cut that news of machines that left may have been dropped meanwhile: asks for all
        anew, and takes for lost whichever machine nobody tells of."""
        self.publisher.store.doubt("machine/")
        self.subscriber.known.clear()
        self.poller.known.clear()
        self.doubted_at = self.clock()

    async def tidy(self):
        """Ends what is too old, and what nobody told of again after a doubt."""
        now, store = self.clock(), self.publisher.store
        self.invariants.look(now)
        self.pool.close_expired(self.endpoints.by_id.values())
        self.history.look(now)
        self.lose(key for key in store.prune() if key.startswith("bourse/"))
        if self.doubted_at is not None and now - self.doubted_at > DOUBT_S:
            self.doubted_at = None
            for key in store.doubted("machine/"):
                store.put(key, [0], {**store.get(key), "state": LOST})

    async def count(self):
        """A line of what was done since the start, and of what stands now."""
        endpoints = self.endpoints.by_id.values()
        self.say(
            "counts",
            **self.forwarder.counts,
            **self.app.refusals,
            **self.violations(),
            dialled=self.pool.opened,
            connections=sum(endpoint.connection_count for endpoint in endpoints),
            machines=len(endpoints),
            fronts=self.fronts(),
            told=dict(self.publisher.told),
            called=dict(self.caller.carried),
            ready=self.ready,
        )

    def on_violation(self, violation, details):
        """What must always hold didn't: a fault of ours, which has to be seen."""
        self.say("invariant violated", SAY_AGAIN_S, what=violation.value, details=details)

    def violations(self):
        """Violated invariants by name, for counts and metrics."""
        return {f"violated: {one.value}": count for one, count in self.invariants.violations.items()}

    def figures(self):
        """Sums since the start, and what stands now."""
        endpoints = list(self.endpoints.by_id.values())
        events = {**self.forwarder.counts, **self.app.refusals, **self.violations()}
        gauges = {
            "ready": self.ready,
            "config_version": self.table.version if self.table else 0,
            "connections": sum(endpoint.connection_count for endpoint in endpoints),
            "machines": len(endpoints),
            "proxies": self.fronts(),
            "open_requests": len(self.forwarder.open_requests),
            "open_attempts": sum(endpoint.in_flight for endpoint in endpoints),
            "connections_opened": self.pool.opened,
        }
        return Figures(events, gauges)

    async def run(self):
        """Serves until the platform says to stop; then what is at work ends within the grace."""
        s = self.settings
        self.server = HttpServer(self.app)
        await self.server.open([s.listen["http"], s.listen["ready"], (s.ip, s.proxy_port)])
        await self.open_metrics(self.server)
        self.say("started", role=s.role)
        self.begin()
        await self.until_stopped()
        self.say("stopping")
        await asyncio.sleep(UNREADY_SEEN_S)
        await self.server.close(s.bounds["grace_s"] - UNREADY_SEEN_S - STOP_MARGIN_S)
        self.say("stopped")

    def begin(self):
        """Starts the loops."""
        self.loop(self.listen, LISTEN_PAUSE_S)
        self.loop(self.poll, POLL_PAUSE_S)
        self.loop(self.tidy, TIDY_S)
        self.loop(self.count, COUNTS)
