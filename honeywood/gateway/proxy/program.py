"""The proxy's program: what it wants to know, and the loops that bring it there."""

import asyncio
from random import Random

from honeywood.gateway.configuration import config
from honeywood.gateway.dissemination.backoff import FIRST, Backoff
from honeywood.gateway.dissemination.history import CUT, History
from honeywood.gateway.dissemination.messages import Asker
from honeywood.gateway.dissemination.publisher import HOLD, SMALL, Publisher
from honeywood.gateway.dissemination.record import Record
from honeywood.gateway.dissemination.rendezvous import order
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.program import COUNTS, Program
from honeywood.gateway.proxy.app import App
from honeywood.gateway.proxy.connections import ConnectionPool
from honeywood.gateway.proxy.forwarding import Forwarder
from honeywood.gateway.rollout import record, report
from honeywood.gateway.rollout.stage import Stage
from honeywood.gateway.routing.attempts import AttemptGate
from honeywood.gateway.routing.budget import Budget
from honeywood.gateway.routing.endpoints import LOST, Endpoints
from honeywood.gateway.routing.routes import Table
from honeywood.gateway.rpc.connection import Connection
from honeywood.gateway.rpc.server import HttpServer

SURE, SURE_ROLLOUT = 0.4, 0.2  # seconds between asks that make sure of the news; while a version is on trial
ASKED = 40  # such asks a second at one controller; where there are more fronts they ask less often,
SPARSE = 2.0  # but not more than so many times less
REST = 1.0  # seconds at most for which one that doesn't answer isn't asked
TELLING = 0.5  # seconds after which a front tells anew for how long it has known of a trial
KEPT = 3.0  # seconds for which a controller's word on how many fronts there are stands beside newer ones
TURNS = 8  # asks of one controller in a row while it has more to tell
DOUBTS = 10.0  # seconds in which controllers have told again all that they know
TIDY = 0.5  # seconds between looks at idle connections
TOLD_IN = 2.2  # seconds in which the platform has noticed a front that isn't ready (two misses of 1 s)
STARTING = 1.0  # seconds in which a front without a configuration asks no relay: it may have started too
MANY = 32  # fronts that share what all may do, until controllers have told how many there are
SHARED = 3.0  # seconds after which a lower number of them is believed
SETTLE = 2.0  # seconds a front with a configuration waits for machines before it calls itself ready


class Proxy(Program):
    def __init__(self, *given, random=None, connect=Connection.to):
        super().__init__(*given)
        s, self.app = self.settings, App(self)
        self.random, self.table, self.limits, self.config_at = random or Random(), None, config.Limits(), None
        self.endpoints = Endpoints()
        self.stage = Stage(self.endpoints, s.bounds["canary_share"], s.bounds["canary_slack"], self.fronts)
        self.budgets, self.server = {}, None
        self.fleet, self.known, self.fell, self.relays = {}, 1, (self.clock(), MANY), []
        self.links = ConnectionPool(self.clock, connect)
        self.gate = AttemptGate(self.budget_of, self.fronts, self.stage, self.endpoints.most)
        self.forwarder = Forwarder(
            self.clock, self.random, s.zone, self.endpoints, self.gate, self.stage, self.links, self.budget_of
        )
        self.publisher, self.tasks = Publisher(self.store_incarnation(), self.hear, rate=s.link), set()
        self.history, self.doubted_at = History(self.publisher.store), None
        backoff = Backoff(self.random, REST)
        self.subscriber = Subscriber(self.publisher, self.caller, self.who, backoff)
        self.sure = Subscriber(self.publisher, self.caller, self.who, backoff, self.own, self.sure_most)
        self.controllers, self.turn, self.met_majority = [ip for ip, _ in s.seeds], 0, False
        self.began = self.listened_at = self.clock()  # the start; when `listen` was answered last
        self.told_in = 0  # the epoch in which the counts were told last
        self.told, self.last, self.counted = 0, {"rows": [], "votes": {}, "left": {}, "known": {}}, {}

    def config_held(self):
        return f"{self.table.version:08x}" if self.table else None

    def found(self, controllers):
        self.controllers += [ip for ip in controllers if ip not in self.controllers]

    def lose(self, keys):
        """Records of controllers have lapsed: whoever isn't a seed is asked no more."""
        seeds = {ip for ip, _ in self.settings.seeds}
        for ip in {key.partition("/")[2] for key in keys} - seeds:
            self.controllers = [one for one in self.controllers if one != ip]
            self.counted.pop(ip, None)
            for subscriber in (self.subscriber, self.sure):
                subscriber.forget(ip)

    def start(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def budget_of(self, svc):
        if svc not in self.budgets:
            b = self.settings.bounds
            self.budgets[svc] = Budget(b["retry_ratio"], b["retry_slack"], b["retry_win_s"])
        return self.budgets[svc]

    def fronts(self):
        """How many fronts share what all may do together: the most that controllers told of lately, since one
        that has just started knows few, and a front that has just started knows none."""
        at, before = self.fell
        return max(1, self.known, before if self.clock() - at < SHARED else 1)

    def hear_fleet(self, ip, count):
        """A controller says how many fronts there are. What others said lately counts beside it."""
        now, before = self.clock(), self.fronts()
        self.fleet[ip] = now, count
        self.fleet = {one: told for one, told in self.fleet.items() if now - told[0] < KEPT}
        self.known = max(count for _, count in self.fleet.values())
        if self.fronts() < before:
            self.fell = now, before

    # news
    def who(self):
        s = self.settings
        return Asker(s.node, s.ip, s.zone, self.life, proxy=True)

    def own(self, ip):
        """This front's counts, where they have changed since that controller had them."""
        told = report.encode(self.stage.report(self.clock()))
        known = {svc: [n, int(seconds / TELLING)] for svc, (n, seconds) in told["known"].items()}
        epoch = self.publisher.store.epoch
        if {**told, "known": known} != self.last or self.told and epoch != self.told_in:
            self.told, self.last, self.told_in = self.told + 1, {**told, "known": known}, epoch
        if self.counted.get(ip, 0) >= self.told:
            return []
        key, stamp = f"count/{self.settings.node}/{self.life}", [self.told, self.told_in]
        return [Record(key, stamp, {"life": self.life, **told})]

    def hear(self, key, value):
        kind, _, name = key.partition("/")
        if kind == "config":
            read = config.read(config.unpack(value))
            self.table, self.limits, self.config_at = Table(read), read.limits, self.config_at or self.clock()
            self.endpoints.most.clear()
            self.endpoints.most.update({name: service.max_conns for name, service in read.services.items()})
            self.say("configuration")
        elif kind == "machine":
            self.history.hear(self.clock(), name, value["state"])
            machine, left = self.endpoints.hear(self.clock(), name, value)
            if left and machine is not None:
                self.links.drop(machine)
        elif kind == "rollout":
            self.stage.hear(self.clock(), record.decode(value))
        elif kind == "bourse":
            self.found([name])

    async def listen(self):
        """Asks its relay for news, held until there are some; where that one is silent, the next above it."""
        s, now, backoff = self.settings, self.clock(), self.subscriber.backoff
        starting = self.table is None and now - self.began < STARTING
        relays = [] if starting else self.relays
        places = [(ip, s.proxy_port) for ip in relays if not backoff.rest(ip, now)]
        places += [(ip, s.controller_port) for ip in backoff.fit(order(self.controllers, s.node), now)]
        for ip, port in places:
            reply = await self.subscriber.ask(ip, port, HOLD)
            if reply.ok:
                self.listened_at = self.clock()
                return await asyncio.sleep(min(HOLD, reply.value.later_s or 0.0))
        await asyncio.sleep(FIRST)

    async def make_sure(self):
        """Asks one controller after the other, of those that hear a majority, for what was missed, and tells
        it this front's counts: whoever is cut off from the others is not the only one asked for long."""
        self.turn += 1
        ring = order(self.controllers, self.settings.node)
        ring = ring[self.turn % len(ring) :] + ring[: self.turn % len(ring)]
        for ip in self.sure.backoff.fit(ring, self.clock()):
            for _ in range(TURNS):
                asked = self.clock()  # an answer may have lain here unread while this process was frozen
                reply = await self.sure.ask(ip, self.settings.controller_port, 0.0)
                if reply.ok and reply.value.fleet is not None:
                    (count, self.relays), self.counted[ip] = reply.value.fleet, reply.value.counted or 0
                    self.hear_fleet(ip, count)
                if not (reply.ok and reply.value.more) or self.sure_most():
                    break
            if reply.ok and reply.value.in_quorum:
                if reply.value.whole:  # else what ends a stage may be among what was not told
                    if self.met_majority and asked - self.stage.heard_at > CUT:
                        self.doubt()
                    self.stage.heard_at = asked
                self.met_majority = True
                return await asyncio.sleep(self.sure_pause())
        self.say("no controller answers", 5.0)
        await asyncio.sleep(FIRST)

    def sure_most(self):
        """The most bytes of an answer to such an ask: few while `listen` hears the first configuration, since
        each controller that is asked besides would tell all that it holds once more."""
        listens = self.clock() - self.listened_at < HOLD
        return SMALL if self.table is None and listens else None

    def sure_pause(self):
        """Seconds until the next ask: longer where many fronts ask few controllers."""
        most = SURE_ROLLOUT if self.stage.active else SURE
        many = self.fronts() / (ASKED * len(self.controllers)) / SURE
        return most * min(SPARSE, max(1.0, many)) * (0.9 + 0.2 * self.random.random())

    @property
    def ready(self):
        if self.stopping.is_set() or self.table is None:
            return False
        if not self.met_majority:  # the configuration may be that of a controller cut off from the others
            if self.clock() - self.config_at < self.settings.bounds["contact_s"]:
                return False
            self.say("ready without a controller that hears a majority", 5.0)
        served = {svc for routes in self.table.hosts.values() for r in routes.values() for svc, _ in r.split}
        return served <= set(self.endpoints.services) or self.clock() - self.config_at > SETTLE

    def doubt(self):
        """After so long a cut that news of machines that left may have been dropped meanwhile: asks for all
        anew, and takes for lost whichever machine nobody tells of."""
        self.publisher.store.doubt("machine/")
        self.subscriber.known.clear()
        self.sure.known.clear()
        self.doubted_at = self.clock()

    async def tidy(self):
        now, store = self.clock(), self.publisher.store
        self.links.tidy(self.endpoints.machines.values())
        self.history.look(now)
        self.lose(key for key in store.prune() if key.startswith("bourse/"))
        if self.doubted_at is not None and now - self.doubted_at > DOUBTS:
            self.doubted_at = None
            for key in store.doubted("machine/"):
                store.put(key, [0], {**store.get(key), "state": LOST})

    async def count(self):
        """A line of what was done since the start, and of what stands now."""
        machines = self.endpoints.machines.values()
        self.say(
            "counts",
            **self.forwarder.counts,
            dialled=self.links.dialled,
            connections=sum(machine.held for machine in machines),
            machines=len(machines),
            fronts=self.fronts(),
            told=dict(self.publisher.told),
            called=dict(self.caller.carried),
            ready=self.ready,
        )

    async def run(self):
        s = self.settings
        self.server = HttpServer(self.app)
        await self.server.open([s.listen["http"], s.listen["ready"], (s.ip, s.proxy_port)])
        self.say("started", role=s.role)
        self.begin()
        await self.until_stopped()
        self.say("stopping")
        await asyncio.sleep(TOLD_IN)
        await self.server.close(s.bounds["grace_s"] - TOLD_IN - 0.5)
        self.say("stopped")

    def begin(self):
        """Starts the loops."""
        self.loop(self.listen, 0.01)
        self.loop(self.make_sure, 0.05)
        self.loop(self.tidy, TIDY)
        self.loop(self.count, COUNTS)
