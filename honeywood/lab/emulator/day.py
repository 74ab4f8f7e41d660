"""One day of a world: machines that beat, clients, operators and faults on one clock, all drawn from a
seed."""

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from honeywood.lab.emulator import faults
from honeywood.lab.emulator.boot import BOUNDS
from honeywood.lab.emulator.machines import BEAT_S, LEAVES, LEFT, Hall
from honeywood.lab.emulator.rules import PROMISES, Book
from honeywood.lab.emulator.world import OUTSIDE, World

AIM, DEADLINE, LATE = 0.25, 0.8, 0.3  # of requests, seconds; worth of one that comes after its aim
CALM = 2.0  # seconds before traffic in which programs find one another
AFTER = 4.0  # seconds after traffic in which what was acknowledged must be readable
TRIES = 3  # a client's
CORE = 12  # links of controllers are so much wider than fronts' (as on the grown sites)
READ_S = 0.3  # seconds between an operator's reads, about


@dataclass(frozen=True, slots=True)
class Day:
    """What is played: `per_s` requests over `fronts` in `zones`; `troubles` are faults.Fault."""

    seed: int
    troubles: tuple = ()
    seconds: float = 8.0
    fronts: int = 4
    zones: int = 2
    per_s: float = 40.0
    machines: int = 6
    bear: int = 1
    bounds: tuple = ()  # (key, figure) where not those of boot.BOUNDS
    seeing: bool = False  # a router with sight of all machines instead of ours: the bound
    changes: int = 0  # of the configuration, one after the other, besides those that troubles make
    link: float = 0.0  # bytes a second that a front's link takes, a controller's CORE times that; 0: all


@dataclass(slots=True)
class Told:
    """What came of a day: `worth` of `owed`, answers by kind, and what was broken."""

    broken: list = field(default_factory=list)
    worth: float = 0.0
    owed: int = 0
    ends: Counter = field(default_factory=Counter)
    seconds: dict = field(default_factory=dict)
    resets: int = 0
    extra: int = 0
    calls: int = 0


def draw(seed, **shape):
    """A day with faults by a seed."""
    chance = random.Random(seed)
    day = Day(seed, **shape)
    return replace(day, troubles=faults.draw(chance, day))


class EmulatedDay(World):
    """The world of a day."""

    def __init__(self, day):
        self.day, zones = day, [f"z{n}" for n in range(day.zones)]
        controllers = tuple(f"b{n}" for n in range(2 * day.bear + 1))
        fronts = tuple(f"f{n}" for n in range(day.fronts))
        places = {
            name: zones[n % len(zones)] for names in (controllers, fronts) for n, name in enumerate(names)
        }
        super().__init__(controllers, fronts, day.seed, day.bear, places, {**BOUNDS, **dict(day.bounds)})
        self.book, self.told, self.chance = Book(self.bounds), Told(), random.Random(day.seed + 1)
        self.work = {"s": 0.04, "u": 0.06}
        self.hall = Hall(self, random.Random(day.seed + 2), self.book, self.work.get)
        self.ids, self.deaf, self.sent, self.ready = 0, 0.0, 0, set(fronts)
        self.zone_names, self.paces = zones, random.Random(day.seed + 3)
        self.operators, self.version, self.unheard, self.spares = random.Random(day.seed + 4), 1, 0.0, 0
        self.brought = []  # numbers of configurations that bring a service
        if day.link:
            self.rates = {
                name: day.link * (CORE if name in controllers else 1) for name in controllers + fronts
            }

    def more(self, name):
        if name in self.controllers:
            return {}
        return {"connect": lambda *given: self.hall.connect(name, *given)}

    async def _begin(self, name, program, life):
        await super()._begin(name, program, life)
        if self.day.seeing and name in self.fronts:
            program.forwarder._choose = lambda ask: self._seen(program, ask)

    def _seen(self, program, ask):
        """The bound: the machine with the least work before it, truly alive and well."""
        fit = [
            (m.running + len(m.waiting)) / m.slots * m.pace + m.pace / 4 + 9 * (m.bad + m.cuts + m.spoils)
            for m in self.hall.alive(ask.service)
        ]
        known = [program.endpoints.machines.get(m.id) for m in self.hall.alive(ask.service)]
        best = [
            (cost, n)
            for n, cost in enumerate(fit)
            if known[n] is not None and program.gate.bar(self.loop.time(), ask, known[n]) is None
        ]
        return known[min(best)[1]] if best else None

    # machines
    def machine(self, svc, **more):
        """A machine that starts now and beats until it ends."""
        zone = self.paces.choice(self.zone_names)
        machine = self.hall.open(svc, zone, pace=self.paces.choice((0.8, 1.0, 1.0, 1.4)), **more)
        self.loop.create_task(self._beats(machine))
        return machine

    async def _beats(self, machine):
        while not machine.gone:
            await self.call("instances.heartbeat", machine.id, machine.beat(self.loop.time()), 3)
            await asyncio.sleep(BEAT_S * (0.9 + 0.2 * self.chance.random()))

    async def drain(self, machine):
        """A planned end: draining until acknowledged, then on for a while, then gone."""
        machine.state = "draining"
        status, _ = await self.call("instances.heartbeat", machine.id, machine.beat(self.loop.time()), 8)
        if status == 200:
            self.book.left(self.loop.time(), machine.id)
        await asyncio.sleep(self.bounds["drain_s"] + LEAVES)
        await self.call("instances.leave", machine.id, {}, 4)
        machine.crash(LEFT)

    async def call(self, call, of="", body=None, turns=8):
        """A caller of ctl: one controller after the other until one answers."""
        names = self.chance.sample(self.controllers, len(self.controllers))
        for turn in range(turns):
            name = names[turn % len(names)]
            status, found = await self.ask(name, call, of, body)
            if status and status < 500:
                return status, found
            await asyncio.sleep(min(0.5, 0.05 * (turn + 1)))
        return 0, None

    # operators
    def configuration(self, version, mark=""):
        """Routes of both kinds, and the services that this version and earlier ones brought; `mark` makes
        another content."""
        routes = [("r", "s", "safe"), ("w", "u", "unsafe")]
        routes += [(f"n{number}{mark}", f"n{number}", "safe") for number in self.brought if number <= version]
        routes += [(f"m{mark}", "s", "safe")] if mark else []
        res = [
            {
                "type": "routes",
                "hdr": {"name": name},
                "spec": {
                    "vhost": "h",
                    "pfx": f"/{name}/",
                    "kind": kind,
                    "timeout_s": DEADLINE,
                    "target_s": AIM,
                    "prio": 0,
                    "svc": svc,
                    "tries": 2,
                },
            }
            for name, svc, kind in routes
        ]
        spec = {"hc_path": "/h", "max_conns": 40, "proto": "h1", "tls": False}
        services = sorted({svc for _, svc, _ in routes})
        res += [{"type": "svcs", "hdr": {"name": svc}, "spec": spec} for svc in services]
        return {"ver": f"{version:08x}", "res": res}

    def higher(self, step=1):
        """A number above all that were sent."""
        self.version += step
        return self.version

    async def order(self, order, call, body, for_s, copies=1):
        """Sends an order until it is answered for good, or for `for_s` seconds, `copies` of it at once to any
        controllers; of answers the share `unheard` is lost. Whether it was confirmed."""
        begun = self.loop.time()
        self.book.sent(begun, order)
        heard = await asyncio.gather(*[self._send(order, call, body, begun + for_s) for _ in range(copies)])
        if not any(heard):
            await asyncio.sleep(max(0.0, begun + self.bounds["ack_s"] + 0.1 - self.loop.time()))
            self.book.dropped(order)
        return any(heard)

    async def _send(self, order, call, body, until):
        turn = 0
        while self.loop.time() < until:
            status, _ = await self.ask(self.operators.choice(self.controllers), call, "", body)
            if status and self.operators.random() < self.unheard:
                status = 0
            if status == 200:
                self.book.acknowledged(self.loop.time(), order)
                return True
            if 400 <= status < 500:
                self.book.refused(self.loop.time(), order, status)
                return False
            turn += 1
            await asyncio.sleep(min(0.5, 0.05 * turn) * (0.5 + self.operators.random()))
        return False

    async def configure(self, version, mark="", copies=1, for_s=60.0):
        body = self.configuration(version, mark)
        order = "config", version, json.dumps(body)
        return await self.order(order, "config.replace", body, for_s, copies)

    async def start_rollout(self, svc, ver, over, copies=1, for_s=None):
        body = {"svc": svc, "to_ver": ver, "over_s": over}
        for_s = self.bounds["ack_s"] - 1.0 if for_s is None else for_s
        return await self.order(("rollout", svc, ver), "rollouts.start", body, for_s, copies)

    async def changing(self):
        """One change after the other, in uneven steps, all day."""
        every = (self.day.seconds - 1.0) / self.day.changes
        for _ in range(self.day.changes):
            await asyncio.sleep(every * (0.5 + self.operators.random()))
            if self.loop.time() > CALM + self.day.seconds:
                return
            await self.configure(self.higher(self.operators.randrange(1, 4)))

    async def reading(self):
        """Reads at any controller, all day."""
        while True:
            await asyncio.sleep(READ_S * 2 * self.operators.random())
            self.loop.create_task(self.read(self.operators.choice(self.controllers)))
            svc = self.operators.choice(sorted({order[1] for order in self.book.orders} | {"s"}))
            self.loop.create_task(self.read_state(self.operators.choice(self.controllers), svc))

    async def read(self, name):
        """The status, once a controller was asked what configuration holds."""
        floor = self.book.floor()
        status, text = await self.ask(name, "config.read")
        if status in (200, 404):
            number = int(faults.version_of(text), 16) if status == 200 else None
            told = text.decode() if status == 200 else None
            self.book.read(self.loop.time(), floor, number, told, name)
        return status

    async def read_state(self, name, svc):
        """A rollout's state as one controller tells it, or None."""
        floor = self.book.floor(svc)
        status, found = await self.ask(name, "rollouts.read", svc)
        if status not in (200, 404):
            return None
        ver, state = (found["to_ver"], found["state"]) if status == 200 else (None, None)
        self.book.read_state(self.loop.time(), floor, svc, ver, state, name)
        return ver, state

    async def rollout(self, svc, ver, over, bad, copies=1):
        """Machines of a version beside the old ones, the order, and what follows from what is told."""
        old = self.hall.alive(svc)
        new = [self.machine(svc, ver=ver, **bad) for _ in old]
        self.book.ordered(self.loop.time(), svc, ver, bool(bad))
        await self.start_rollout(svc, ver, over, copies)
        state = "active"
        while state == "active":
            await asyncio.sleep(0.25)
            told = await self.read_state(self.operators.choice(self.controllers), svc)
            if told is not None and told[0] == ver:
                state = told[1]
        for machine in old if state == "done" else ():
            machine.crash(LEFT)
        for machine in new if state == "reverted" else ():
            self.loop.create_task(self.drain(machine))

    # clients
    async def client(self):
        while self.loop.time() < CALM + self.day.seconds:
            await asyncio.sleep(self.chance.expovariate(self.day.per_s))
            self.loop.create_task(self._request(self.chance.random() < 0.7))

    async def _request(self, safe):
        begun, deaf = self.loop.time(), self.chance.random() < self.deaf
        zone, svc = self.chance.choice(self.zone_names), "s" if safe else "u"
        end = "silence"
        self.told.owed += 1
        for _ in range(TRIES if not deaf else 3 * TRIES):
            left = begun + DEADLINE - self.loop.time()
            if left <= 0.01:
                break
            end, again = await self._try(zone, svc, safe, left)
            took = self.loop.time() - begun
            if end == "200":
                self.told.worth += 1 if took <= AIM else LATE
                row = self.told.seconds.setdefault(int(begun), [0, 0.0])
                row[1] += 1 if took <= AIM else LATE
                break
            promise = end in [str(status) for status in PROMISES] or end == "refused"
            if not safe and not promise or end == "404":
                break
            await asyncio.sleep(0.0 if deaf else min(again, left / 3))
        self.told.seconds.setdefault(int(begun), [0, 0.0])[0] += 1
        self.told.ends[end] += 1

    async def _try(self, zone, svc, safe, left):
        """(how it ended, seconds to wait): one try at a front, over a new connection."""
        self.ids += 1
        id = b"%016x" % self.ids
        fit = [name for name in self.fronts if name in self.ready]
        near = [name for name in fit if self.zones[name] == zone]
        front = self.chance.choice(near or fit or self.fronts)
        program, process = self.nodes.get(front), self.processes.get(front)
        if program is None:
            await asyncio.sleep(0.002)
            return "refused", 0.0
        if (OUTSIDE, front) in self.cuts:
            await asyncio.sleep(left)
            return "silence", 0.0
        headers = [(b"host", b"h"), (b"x-try-id", id), (b"x-deadline-ms", b"%d" % (left * 1000))]
        target = b"/r/x" if safe else b"/w/x"
        scope = {"headers": headers, "raw_path": target, "target": target, "method": "GET"}
        self.book.asked(self.loop.time(), id, svc, safe)

        async def receive():
            return {"type": "http.request", "body": b"", "more_body": False}

        work = process.run(program.app.client(scope, receive))
        await asyncio.wait((work,), timeout=left)
        if work.cancelled():
            return "cut", 0.0
        if not work.done():
            work.cancel()  # the connection is closed by its client
            return "silence", 0.0
        answer = work.result()
        self.book.answered(self.loop.time(), id, answer.status, answer.body)
        return str(answer.status), float(dict(answer.headers).get(b"retry-after", b"0.02"))

    # the day
    async def platform(self):
        """Looks at readiness every second; two misses and a front gets nothing new."""
        missed = Counter()
        while True:
            for name in self.fronts:
                program = self.nodes.get(name)
                well = program is not None and program.ready and (OUTSIDE, name) not in self.cuts
                missed[name] = 0 if well and self.processes[name].pace == 1.0 else missed[name] + 1
                self.ready.discard(name) if missed[name] >= 2 else self.ready.add(name)
            await asyncio.sleep(1.0)

    def look(self):
        for name in self.fronts:
            program = self.nodes.get(name)
            if program is not None:
                held = program.table.version if program.table else None
                self.book.holds(self.loop.time(), name, self.lives[name], held)
        if self.cuts or self.loss or self.unheard:
            self.book.trouble(self.loop.time())
        self.book.overdue(self.loop.time())

    def play(self):
        """Plays the day; Told."""
        day = self.day
        for name in self.controllers + self.fronts:
            self.start(name)
        for svc in ("s", "u"):
            for _ in range(day.machines):
                self.machine(svc)
        self.loop.create_task(self.configure(1))
        self.loop.create_task(self.platform())
        self.run(CALM, self.look)
        self.fresh = False
        self.loop.create_task(self.client())
        for fault in day.troubles:
            self.loop.create_task(faults.cause(self, fault, CALM))
        self.loop.create_task(self.reading())
        if day.changes:
            self.loop.create_task(self.changing())
        self.run(CALM + day.seconds + AFTER, self.look)
        until = self.loop.time() + self.bounds["contact_s"] + self.bounds["ack_s"] + AFTER
        while self.book.open and self.loop.time() < until:
            self.run(self.loop.time() + 0.5, self.look)
        read = self.loop.create_task(self.call("config.read", "", {}, 12))
        self.run(self.loop.time() + 3.0, self.look)
        status, text = read.result() if read.done() else (0, None)
        version = int(faults.version_of(text), 16) if status == 200 else None
        self.book.close(self.loop.time(), version)
        for wrong in self.raised:
            self.book.break_("raised", self.loop.time(), repr(wrong))
        told = self.told
        if told.worth < told.owed / 2:
            self.book.break_("served", self.loop.time(), f"{told.worth:.1f} of {told.owed}")
        told.broken, told.resets = self.book.broken, self.book.resets
        told.extra = sum(len(times) for times in self.book.extra.values())
        told.calls = self.ids
        self.close()
        return told


def play(day):
    """Plays a day; Told. What goes wrong in the world itself is a broken rule too."""
    return EmulatedDay(day).play()
