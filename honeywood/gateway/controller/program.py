"""The controller's program: what it tells and keeps, and the loops that bring it there."""

import asyncio
from collections import Counter
from random import Random

from honeywood.gateway.configuration.outcome import Wrong
from honeywood.gateway.controller.app import App
from honeywood.gateway.controller.contact import Contacts, disk_state
from honeywood.gateway.controller.disk_health import CHECK_S, DiskHealth
from honeywood.gateway.controller.machine_records import MachineRecords
from honeywood.gateway.controller.machines import Machines
from honeywood.gateway.controller.orders import CONFIG, TICK, Orders
from honeywood.gateway.controller.retention import still_counted
from honeywood.gateway.controller.rollouts import Rollouts
from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.epochs import EpochClock
from honeywood.gateway.dissemination.local import LocalRecords
from honeywood.gateway.dissemination.messages import Asker
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.rendezvous import parents
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.program import COUNTS, Program
from honeywood.gateway.register.disk import Disk
from honeywood.gateway.register.membership import DiskState, replacement
from honeywood.gateway.register.paging import PagedResponder, PagedCaller
from honeywood.gateway.register.replica import Register
from honeywood.gateway.rpc.server import HttpServer

LOOK = 0.1  # seconds between looks at rollouts, and at whether this disk is where it counts
MISSED = 3.0  # times contact_s and sync_s together that a member is silent, or its disk refuses all writes,
# before a spare that was there takes its place
SURVEY = 1.0  # seconds between looks at the register
NEAR = 0.5  # seconds that another controller holds an ask while there is nothing new
REST = 0.5  # seconds at most for which a controller that doesn't answer isn't asked
FRONT_LOST = 3.0  # seconds after which a front that asks no more shares nothing
TELL = 0.8  # seconds in which enough others must know of a leaving before it is acknowledged
KEPT = 0.2  # seconds that an acknowledgement waits for this disk besides
NOTING = 0.5  # seconds between looks at whether notes of machines have changed


class Controller(Program):
    def __init__(self, *given, random=None, disk=Disk):
        super().__init__(*given)
        s, self.random = self.settings, random or Random()
        self.app = App(self)
        life = self.store_incarnation()
        self.publisher = Publisher(life, self.hear, self.met, s.link, needed=still_counted)
        self.store, self.epochs = self.publisher.store, EpochClock()
        self.own = LocalRecords(self.store, int(self.life, 16), self.mine)
        self.register = Register(s, PagedCaller(self.caller), self.random, self.say, disk)
        self.telling = PagedResponder(self.register.serve, self.clock)
        self.orders, self.rollouts = Orders(self), Rollouts(self)
        self.machines, self.notes = Machines(self.store, s.beat_s), MachineRecords(self.register.keep_notes)
        self.machines.changed = self.notes.change
        self.subscriber = Subscriber(self.publisher, self.caller, self.who, Backoff(self.random, REST))
        self.fronts = {}
        self.contacts = Contacts(s.ip, self.store.life, self.clock(), s.bear, lambda: self.register.members)
        self.disk_health = DiskHealth(lambda: self.register.keep_notes({}), self.clock, self.say)
        self.fleet, self.chains = {}, {}
        self.controllers, self.waits = [ip for ip, _ in s.seeds], []
        self.asking = set()

    def config_held(self):
        stamp = self.store.stamp(CONFIG)
        return f"{stamp[0]:08x}" if stamp else None

    def found(self, controllers):
        self.controllers += [ip for ip in controllers if ip not in self.controllers]

    def who(self):
        """Who asks for news, with the stamps of others' answers and what becomes of writes to this disk."""
        s, state = self.settings, self.disk_state.value
        return Asker(s.node, s.ip, controller=True, stamps=self.contacts.stamps(), disk=state)

    @property
    def disk_state(self):
        """What others are told of this disk."""
        if not self.register.sound:
            return DiskState.LOST
        return DiskState.REFUSES if self.disk_health.refuses_writes else DiskState.WORKS

    def met(self, who, rev):
        """Somebody asked for news who has all up to `rev`."""
        now = self.clock()
        if who.proxy:
            self.fronts[who.node] = now, [who.zone, who.ip]
        elif who.controller:
            self.found([who.ip])  # of more than three controllers not all are among the seeds of each
            stamp = who.stamps.get(self.settings.ip)
            self.contacts.asked(who.ip, now, stamp, rev, disk_state(who.disk))
            for wait in self.waits:
                wait.set()

    def mine(self, key):
        """Whether a note is this controller's own, of this life or an earlier one."""
        return key == f"bourse/{self.settings.ip}" or key.startswith(f"fleet/{self.settings.ip}/")

    def hear(self, key, value):
        self.own.heard(key)
        kind, _, name = key.partition("/")
        if kind == "bourse":
            self.found([name])
        elif kind == "beat":
            self.machines.alive(self.clock(), name, None)
        elif kind == "machine":
            self.machines.hear(self.clock(), name, value)
        elif kind == "left":
            self.machines.hear_departed(key, value)
        elif kind == "rollout":
            self.rollouts.hear(name, value)

    @property
    def joined(self):
        """Whether enough other controllers are in contact."""
        return self.contacts.in_quorum(self.clock())

    # machines
    async def beat(self, id, stamp, value):
        if not self.joined:
            raise Wrong("instances.heartbeat", "cut off from the other controllers", "", 503)
        if self.machines.beat(self.clock(), id, stamp, value):
            await asyncio.gather(self._known(), self._kept())

    async def leave(self, id):
        if not self.joined:
            raise Wrong("instances.leave", "cut off from the other controllers", "", 503)
        self.machines.leave(id)
        await asyncio.gather(self._known(), self._kept())

    async def _kept(self):
        """Puts the notes of machines on this disk; one that is slow or refuses holds up no answer long."""
        saving = asyncio.ensure_future(self.keep_notes())
        await asyncio.wait((saving,), timeout=KEPT)

    async def keep_notes(self):
        try:
            if self.register.sound:
                await self.notes.keep()
        except Wrong as wrong:
            self.say("notes not kept", 5.0, why=str(wrong))

    async def _known(self):
        """Waits until enough other controllers have what the store says now."""
        rev, until, wait = self.store.rev, self.clock() + TELL, asyncio.Event()
        self.waits.append(wait)
        try:
            while not self.contacts.have_heard(rev):
                wait.clear()
                async with asyncio.timeout(until - self.clock()):
                    await wait.wait()
        except TimeoutError:
            raise Wrong("instances", "too few other controllers heard it in time", "", 503) from None
        finally:
            self.waits.remove(wait)

    # the register's values
    def publish(self, key, value):
        """Tells of what a majority's disks hold."""
        if key == CONFIG and value is not None:
            self.store.put(CONFIG, [value["ver"]], value["text"])
        elif value is not None:
            self.store.put(key, [value["n"]], value)

    # loops
    async def listen(self, ip):
        """Asks another controller for what it has heard, for as long as that one is known."""
        if ip not in self.controllers:
            self.asking.discard(ip)
            raise asyncio.CancelledError  # ends the loop that this is a turn of
        asked = self.clock()  # an answer may have lain here unread while this process was frozen
        reply = await self.subscriber.ask(ip, self.settings.controller_port, NEAR)
        if reply.ok:
            told = reply.value
            self.contacts.answered(ip, asked, told.whole, told.stamp, disk_state(told.disk))
        await asyncio.sleep(min(REST, self.subscriber.backoff.rest(ip, self.clock())))

    async def hear_others(self):
        """Asks all other controllers for what they know now; whether enough told all of it."""

        async def told(ip):
            reply = await self.subscriber.ask(ip, self.settings.controller_port, 0.0)
            return reply.ok and reply.value.whole

        others = [ip for ip in self.controllers if ip != self.settings.ip]
        answers = await asyncio.gather(*[told(ip) for ip in others])
        return self.contacts.is_enough(ip for ip, answered in zip(others, answers) if answered)

    def meet(self):
        """A loop for each other controller that is known."""
        for ip in self.controllers:
            if ip != self.settings.ip and ip not in self.asking:
                self.asking.add(ip)
                self.loop(lambda ip=ip: self.listen(ip), 0.05)

    async def settle(self):
        """Brings this disk to where it counts, and a spare controller into a lost member's place."""
        if not self.register.settled:
            return await self.register.settle(self.controllers)
        if self.disk_state is not DiskState.WORKS:
            return  # the others see to it
        s = self.settings
        soon, late = s.bounds["contact_s"], MISSED * (s.bounds["contact_s"] + s.bounds["sync_s"])
        states = self.contacts.states()
        found = replacement(self.register.here, s.ip, states, self.clock(), soon, late)
        if found:
            self.say("member unusable", 1.0, member=found.lost, spare=found.spare, why=found.why)
            await self.register.replace(found.lost, found.spare)

    async def check_disk(self):
        """Learns whether this disk takes writes."""
        if self.register.sound:
            await self.disk_health.check()

    async def keep(self):
        """Takes part in the register, and tells what it has come to hold."""
        self.meet()
        found = await self.register.survey()
        if found.ok:
            for key, value in found.value.items():
                self.publish(key, value)

    async def watch(self):
        """Looks at machines and fronts."""
        now = self.clock()
        if self.joined and self.contacts.knows_all(now):
            self.machines.look(now)  # parts of what others know are no silence of the machines they hear
        for node, (at, place) in list(self.fronts.items()):
            key, place = f"fleet/{self.settings.ip}/{node}", place if now - at < FRONT_LOST else None
            if self.store.get(key) != place:
                self.own.tell(key, place)
            if place is None:
                del self.fronts[node]
        self.look_at_fleet()
        self.look_at_epoch()

    def look_at_epoch(self):
        """Brings the epoch on once it has stood long enough, tells this controller's records again in a new
        one, and drops records whose owners have ended."""
        self.store.learn(self.epochs.next(self.clock(), self.store.epoch, self.joined))
        self.own.refresh()
        if self.store.prune():
            self.lose_controllers()

    def lose_controllers(self):
        """Some records have lapsed: asks those controllers no more that have none, but seeds and members."""
        s = self.settings
        known = {*(ip for ip, _ in s.seeds), *self.register.members}
        known |= {key.partition("/")[2] for key, _ in self.store.under("bourse/")}
        known |= self.contacts.vouching(self.clock())
        for ip in set(self.controllers) - known:
            self.controllers = [one for one in self.controllers if one != ip]
            self.subscriber.forget(ip)
            self.contacts.forget(ip)

    def look_at_fleet(self):
        """The fronts that share in the traffic, {node: (zone, ip)}: all that ask a controller which is
        heard."""
        heard, fleet = self.contacts.vouching(self.clock()), {}
        for key, place in self.store.under("fleet/"):
            _, told_by, node = key.split("/", 2)
            if place is not None and told_by in heard:
                fleet[node] = tuple(place)
        if fleet != self.fleet:
            self.fleet, self.chains = fleet, {}
        return fleet

    def beside(self, who):
        """What goes with an answer to news: whether enough others are heard; for a front how many fronts
        there are, the relays that it hears from, and which of its counts are known here."""
        found = {"in_quorum": self.joined}
        if who.controller:
            found |= {"stamp": self.contacts.stamp(self.clock()), "disk": self.disk_state.value}
        if who.proxy:
            if who.node not in self.chains:
                self.chains[who.node] = parents(who.node, who.zone, self.fleet)
            counted = self.store.stamp(f"count/{who.node}/{who.life}")
            found["fleet"] = len(self.fleet), self.chains[who.node]
            found["counted"] = counted[0] if counted else 0
        return found

    async def count(self):
        """A line of what stands now."""
        states = Counter(value["state"] for _, value in self.store.under("machine/"))
        self.say(
            "counts",
            machines=dict(states),
            fronts=len(self.fleet),
            told=dict(self.publisher.told),
            called=dict(self.caller.carried),
            joined=self.joined,
            sound=self.register.sound,
            epoch=self.register.epoch,
            counts=self.register.counts,
            refused=self.app.refused,
        )

    async def run(self):
        s = self.settings
        await self.register.open()
        server = HttpServer(self.app)
        await server.open([s.listen["ctl"], (s.ip, s.controller_port)])
        self.say("started", role=s.role)
        self.begin()
        await self.until_stopped()
        await server.close(s.bounds["grace_s"] - 1.0)
        self.say("stopped")

    def begin(self):
        """Starts the loops."""
        s = self.settings
        self.own.tell(f"bourse/{s.ip}", s.node)
        self.machines.recall(self.register.notes)
        self.meet()
        self.loop(self.settle, LOOK)
        self.loop(self.keep, SURVEY)
        self.loop(self.watch, 0.5)
        self.loop(self.rollouts.steer, LOOK)
        self.loop(self.orders.tick, TICK)
        self.loop(self.keep_notes, NOTING)
        self.loop(self.check_disk, CHECK_S)
        self.loop(self.count, COUNTS)
