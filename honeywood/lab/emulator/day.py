"""One day of a world: machines that beat, clients, operators and faults on one clock, all drawn from a
seed. What the day adds to the world stands in fleet.py, clients.py and operators.py."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from honeywood.gateway.routing.endpoint_state import READY
from honeywood.lab.emulator.boot import BOUNDS
from honeywood.lab.emulator.clients import Clients
from honeywood.lab.emulator.faults import Fault, cause, start_spread
from honeywood.lab.emulator.faults import draw as draw_faults
from honeywood.lab.emulator.fleet import Fleet
from honeywood.lab.emulator.machines import Machines
from honeywood.lab.emulator.operators import Operators
from honeywood.lab.emulator.rules import Monitor
from honeywood.lab.emulator.sight import best_machine
from honeywood.lab.emulator.world import World

CALM_S = 2.0  # before traffic, in which programs find one another
AFTER_S = 4.0  # after traffic, in which what was acknowledged must be readable
READ_BACK_S = 3.0  # that the last read may take
READ_BACK_TURNS = 12  # controllers that it asks, one after the other
CORE_LINK = 12  # links of controllers are so many times wider than proxies' (as on the grown sites)
WORK_S = {"s": 0.04, "u": 0.06}  # of a request, by service


@dataclass(frozen=True, slots=True)
class Day:
    """What is played: `per_s` requests a second over `fronts` proxies in `zones`, with `faults`."""

    seed: int
    faults: tuple[Fault, ...] = ()
    seconds: float = 8.0
    fronts: int = 4
    zones: int = 2
    per_s: float = 40.0
    machines: int = 6  # of each service
    bear: int = 1  # disks that may be lost at once
    bounds: tuple = ()  # (key, figure) where not those of boot.BOUNDS
    seeing: bool = False  # a router with sight of all machines instead of ours: the bound
    changes: int = 0  # of the configuration, one after the other, besides those that faults make
    most_faults: int = 6  # in each eight seconds of traffic
    link: float = 0.0  # bytes a second that a proxy's link takes; 0: all


@dataclass(slots=True)
class SecondOfTraffic:
    """Requests that began in one second, and the worth that they earned."""

    owed: int = 0
    worth: float = 0.0


@dataclass(slots=True)
class Outcome:
    """What came of a day: `worth` of `owed` requests, answers by kind, and the rules that were broken."""

    breaches: list = field(default_factory=list)  # rules.Breach
    worth: float = 0.0
    owed: int = 0
    answers: Counter = field(default_factory=Counter)
    seconds: dict[int, SecondOfTraffic] = field(default_factory=dict)
    resets: int = 0
    further: int = 0  # arrivals at machines beyond the first
    tries: int = 0

    def earned(self, second, worth, answer):
        """A request that began in a second has its end."""
        self.worth += worth
        of_second = self.seconds.setdefault(second, SecondOfTraffic())
        of_second.owed += 1
        of_second.worth += worth
        self.answers[answer] += 1

    def broke(self, rule):
        """Whether a rule was broken."""
        return any(breach.rule == rule for breach in self.breaches)


def draw(seed, **shape):
    """A day with faults by a seed."""
    chance = random.Random(seed)
    day = Day(seed, **shape)
    return replace(day, faults=draw_faults(chance, day))


class EmulatedDay(World):
    """The world of a day. Each part draws its chance from a generator of its own."""

    def __init__(self, day):
        """Nothing runs before `play`."""
        self.day, self.zone_names = day, [f"z{at}" for at in range(day.zones)]
        controllers = tuple(f"b{at}" for at in range(2 * day.bear + 1))
        fronts = tuple(f"f{at}" for at in range(day.fronts))
        places = {
            name: self.zone_names[at % day.zones]
            for names in (controllers, fronts)
            for at, name in enumerate(names)
        }
        super().__init__(controllers, fronts, day.seed, day.bear, places, {**BOUNDS, **dict(day.bounds)})
        self.monitor, self.outcome = Monitor(self.bounds), Outcome()
        self.chance = random.Random(day.seed + 1)  # of clients, and of machines' calls
        self.machines = Machines(self, random.Random(day.seed + 2), self.monitor.requests, WORK_S.get)
        self.fleet = Fleet(self, random.Random(day.seed + 3))
        self.operators = Operators(self, random.Random(day.seed + 4))
        self.clients = Clients(self)
        self.starts = random.Random(day.seed + 5)  # of when programs start that start together
        self.spares = 0  # new machines that came in place of controllers
        if day.link:
            core_rate = {name: day.link * CORE_LINK for name in controllers}
            self.rates = {**core_rate, **dict.fromkeys(fronts, day.link)}

    def more(self, name):
        """A proxy's connections go to the machines of this world."""
        return {"connect": lambda *given: self.machines.connect(name, *given)}

    async def _begin(self, name, program, life):
        await super()._begin(name, program, life)
        if self.day.seeing and name in self.fronts:
            program.selector.select = lambda request: best_machine(self, program, request)

    def play(self):
        """Plays the day; its Outcome."""
        self._start()
        self.run(CALM_S, self._look)
        self.fresh = False
        self._begin_traffic()
        self.run(CALM_S + self.day.seconds + AFTER_S, self._look)
        self._await_open_orders()
        self._read_back()
        return self._closed()

    def _start(self):
        self.loop.create_task(start_spread(self, self.controllers + self.fronts))
        for service in WORK_S:
            for _ in range(self.day.machines):
                self.fleet.start(service)
        self.loop.create_task(self.operators.configure(1))
        self.loop.create_task(self.clients.watch_readiness())

    def _begin_traffic(self):
        self.loop.create_task(self.clients.run(CALM_S + self.day.seconds))
        for fault in self.day.faults:
            self.loop.create_task(cause(self, fault, CALM_S))
        self.loop.create_task(self.operators.reading())
        if self.day.changes:
            self.loop.create_task(self.operators.changing(CALM_S + self.day.seconds))

    def _look(self):
        """What the rules are told of programs every few hundredths of a second."""
        now = self.loop.time()
        for name in self.fronts:
            program = self.nodes.get(name)
            self.monitor.proxies.answers_ready(now, name, program is not None and program.ready)
            if program is not None:
                for violation in program.invariants.violations:
                    self.monitor.core.breach("invariant", now, f"{name}: {violation}")
                if self.monitor.proxies.left_at:
                    ready = {one.id for one in program.endpoints.by_id.values() if one.state == READY}
                    self.monitor.proxies.knows(now, name, ready)
                held = program.configuration.version
                self.monitor.proxies.holds(now, name, self.lives[name], held)
        if self.cuts or self.loss or self.operators.unheard:
            self.monitor.core.link_trouble(now)
        self.monitor.orders.overdue(now)

    def _await_open_orders(self):
        until = self.loop.time() + self.bounds["contact_s"] + self.bounds["ack_s"] + AFTER_S
        while self.monitor.orders.open and self.loop.time() < until:
            self.run(self.loop.time() + 0.5, self._look)

    def _read_back(self):
        """The last look at what was acknowledged, over any controllers that answer."""
        reading = self.loop.create_task(self.fleet.call("config.read", "", {}, READ_BACK_TURNS))
        self.run(self.loop.time() + READ_BACK_S, self._look)
        status, text = reading.result() if reading.done() else (0, None)
        version = int(json.loads(text)["ver"], 16) if status == 200 else None
        self.monitor.close(self.loop.time(), version)

    def _closed(self):
        outcome, core = self.outcome, self.monitor.core
        for wrong in self.raised:
            core.breach("raised", self.loop.time(), repr(wrong))
        if outcome.worth < outcome.owed / 2:
            core.breach("served", self.loop.time(), f"{outcome.worth:.1f} of {outcome.owed}")
        outcome.breaches, outcome.resets = core.breaches, self.monitor.requests.resets
        outcome.further = sum(len(times) for times in self.monitor.requests.further.values())
        outcome.tries = self.clients.tries
        self.close()
        return outcome


def play(day):
    """Plays a day; its Outcome."""
    return EmulatedDay(day).play()
