"""The controller's program: its parts, which of them hears what, and the loops."""

from collections import Counter
from random import Random

from honeywood.gateway.configuration import record as configuration_record
from honeywood.gateway.configuration.packing import pack_for_proxies
from honeywood.gateway.controller.app import App
from honeywood.gateway.controller.contact import Contacts, disk_state
from honeywood.gateway.controller.disk_health import CHECK_S
from honeywood.gateway.controller.fleet import Fleet
from honeywood.gateway.controller.machine_loop import MachineLoop
from honeywood.gateway.controller.membership_loop import MembershipLoop
from honeywood.gateway.controller.orders import CONFIG, TICK, Orders
from honeywood.gateway.controller.peers import PeerPolling
from honeywood.gateway.controller.replication import Replication
from honeywood.gateway.controller.retention import still_counted
from honeywood.gateway.controller.rollout_loop import RolloutLoop
from honeywood.gateway.dissemination.epochs import EpochClock
from honeywood.gateway.dissemination.keys import RecordKind, kind_of, name_of
from honeywood.gateway.dissemination.local_records import LocalRecords
from honeywood.gateway.dissemination.messages import FleetView
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.metrics import Figures
from honeywood.gateway.program import COUNTS, Program
from honeywood.gateway.register.paged_caller import PagedCaller
from honeywood.gateway.register.paged_responder import PagedResponder
from honeywood.gateway.register.register import Register
from honeywood.gateway.register.row_store import RowStore
from honeywood.gateway.rpc.server import HttpServer

SETTLE_S = 0.1  # seconds between looks at whether this disk is where it counts
STEER_S = 0.1  # seconds between looks at rollouts
SURVEY_S = 1.0  # seconds between surveys of the register
FLEET_S = 0.5  # seconds between looks at machines and proxies
RECORDS_S = 0.5  # seconds between looks at whether records of machines have changed


class Controller(Program):
    """One controller: the parts are made in the order in which they rest on each other."""

    def __init__(self, *given, random=None, disk=RowStore):
        """`disk` makes the disk out of its folder; chance may be handed in."""
        super().__init__(*given)
        s, self.random, clock = self.settings, random or Random(), self.clock
        self.app, incarnation = App(self), self.store_incarnation()
        self.publisher = Publisher(
            incarnation, self.on_record, self.on_ask, s.link_bytes_per_s, is_retained=still_counted
        )
        self.store, self.epochs = self.publisher.store, EpochClock()
        self.local = LocalRecords(self.store, int(self.life, 16), self.is_local)
        self.register = Register(s, PagedCaller(self.caller), self.random, self.say, disk)
        self.register_responder = PagedResponder(self.register.serve, clock)
        self.orders = Orders(self)
        self.contacts = Contacts(
            s.ip,
            self.store.incarnation,
            clock(),
            s.tolerated_failures,
            lambda: self.register.membership.members,
        )
        self.peers = PeerPolling(
            s, self.publisher, self.caller, self.random, self.contacts, self.disk_state, clock, self.loop
        )
        self.membership = MembershipLoop(
            s, self.register, self.contacts, self.peers, self.publish, clock, self.say
        )
        self.replication = Replication(self.store, self.contacts, clock)
        self.machine_loop = MachineLoop(
            self.store,
            s.heartbeat_interval_s,
            self.register,
            self.contacts,
            self.replication,
            clock,
            self.say,
        )
        self.machines = self.machine_loop.machines
        self.fleet = Fleet(s.ip, self.store, self.contacts, self.local.publish)
        self.rollouts = RolloutLoop(
            s.ip, self.store, self.register, self.contacts, self.fleet, self.publish, clock, self.say
        )

    def config_held(self):
        """The version of the configuration that the store holds, for the log."""
        stamp = self.store.stamp(CONFIG)
        return f"{stamp[0]:08x}" if stamp else None

    def found(self, controllers):
        """Controllers that a settings file or others tell of."""
        self.peers.discover(controllers)

    @property
    def in_quorum(self):
        """Whether enough other controllers are in contact."""
        return self.contacts.in_quorum(self.clock())

    def disk_state(self):
        """What others are told of this disk."""
        return self.membership.disk

    # what is heard
    def on_ask(self, requester, revision):
        """Another program asked for news that has all up to `revision`."""
        now = self.clock()
        if requester.is_proxy:
            self.fleet.asked(now, requester)
        elif requester.is_controller:
            self.found([requester.ip])
            stamp = requester.echo_stamps.get(self.settings.ip)
            self.contacts.asked(requester.ip, now, stamp, revision, disk_state(requester.disk))
            self.replication.notify()

    def beside(self, requester):
        """What goes with an answer to news: whether enough others are in contact; for a proxy how many
        proxies there are, the relays that it hears from, and which of its counts are known here."""
        found = {"in_quorum": self.in_quorum}
        if requester.is_controller:
            found |= {"echo_stamp": self.contacts.stamp(self.clock()), "disk": self.disk_state().value}
        if requester.is_proxy:
            counted = self.store.stamp(RecordKind.PROXY_COUNTS.key(requester.node, requester.incarnation))
            relays = self.fleet.relays(requester.node, requester.zone)
            found["fleet"] = FleetView(len(self.fleet.proxies), relays)
            found["counts_number"] = counted[0] if counted else 0
        return found

    def is_local(self, key):
        """Whether a record is this controller's own, of this incarnation or an earlier one."""
        ip = self.settings.ip
        return key == RecordKind.CONTROLLER.key(ip) or key.startswith(RecordKind.PROXY_LOCATION.key(ip, ""))

    def on_record(self, key, value):
        """A record has come to the store, from here or from others."""
        self.local.on_update(key)
        kind, name = kind_of(key), name_of(key)
        if kind == RecordKind.CONTROLLER:
            self.found([name])
        elif kind == RecordKind.HEARTBEAT:
            self.machines.alive(self.clock(), name, None)
        elif kind == RecordKind.MACHINE:
            self.machines.hear(self.clock(), name, value)
        elif kind == RecordKind.TOMBSTONES:
            self.machines.hear_departed(key, value)
        elif kind == RecordKind.ROLLOUT:
            self.rollouts.heard(name, value["n"])

    def publish(self, key, value):
        """Tells of what a majority's disks hold."""
        if key == CONFIG and value is not None:
            current = configuration_record.decode(value)
            self.publish_configuration(current.version, current.text)
        elif value is not None:
            self.store.put(key, Stamp.of(value["n"]), value)

    def publish_configuration(self, version, text):
        """Tells of a configuration, without the keys of its tenants."""
        stamp = Stamp.of(version)
        if self.store.stamp(CONFIG) != stamp:
            self.store.put(CONFIG, stamp, pack_for_proxies(text))

    # what orders rest on
    async def hear_others(self):
        """Polls all other controllers for what they know now; whether enough told all of it."""
        return await self.peers.poll_all()

    # loops
    async def poll(self):
        """Looks at machines, proxies and the epoch of records."""
        now = self.clock()
        self.machine_loop.poll(now)
        self.fleet.poll(now)
        self.store.observe_epoch(self.epochs.advance(now, self.store.epoch, self.in_quorum))
        self.local.refresh()
        if self.store.prune():
            told = {name_of(key) for key, _ in self.store.items_of(RecordKind.CONTROLLER)}
            self.peers.forget_others(told | {*self.register.membership.members} | self.contacts.vouching(now))

    async def count(self):
        """A line of what stands now."""
        states = Counter(value["state"] for _, value in self.store.items_of(RecordKind.MACHINE))
        self.say(
            "counts",
            machines=dict(states),
            fronts=len(self.fleet.proxies),
            told=dict(self.publisher.sent_bytes),
            called=dict(self.caller.bytes_by_path),
            joined=self.in_quorum,
            sound=self.register.membership.intact,
            disk=self.disk_state().value,
            epoch=self.register.membership.epoch,
            counts=self.register.membership.is_voter,
            refused=self.app.refused.total(),
            **self.app.refused,
        )

    def figures(self):
        """Sums since the start, and what stands now."""
        states = Counter(value["state"] for _, value in self.store.items_of(RecordKind.MACHINE))
        stamp = self.store.stamp(CONFIG)
        gauges = {
            "in_quorum": self.in_quorum,
            "register_synced": self.register.membership.intact,
            "epoch": self.register.membership.epoch,
            "config_version": stamp[0] if stamp else 0,
            "proxies": len(self.fleet.proxies),
            **{f"machines_{state}": count for state, count in states.items()},
        }
        return Figures(self.app.refused, gauges)

    async def run(self):
        """Runs until it is stopped."""
        s = self.settings
        await self.register.manager.open()
        server = HttpServer(self.app)
        await server.open([s.listen.ctl, (s.ip, s.controller_port)])
        await self.open_metrics(server)
        self.say("started", role=s.role)
        self.begin()
        await self.until_stopped()
        await server.close(s.bounds.grace_s - 1.0)
        self.say("stopped")

    def begin(self):
        """Starts the loops."""
        s = self.settings
        self.local.publish(RecordKind.CONTROLLER.key(s.ip), s.node)
        self.machines.recall(self.register.state.heartbeats)
        self.peers.start()
        self.loop(self.membership.settle, SETTLE_S)
        self.loop(self.membership.survey, SURVEY_S)
        self.loop(self.poll, FLEET_S)
        self.loop(self.rollouts.steer, STEER_S)
        self.loop(self.orders.tick, TICK)
        self.loop(self.machine_loop.keep_records, RECORDS_S)
        self.loop(self.membership.check_disk, CHECK_S)
        self.loop(self.count, COUNTS)
