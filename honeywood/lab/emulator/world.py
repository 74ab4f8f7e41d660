"""Controllers and proxies, the real programs, on one clock that jumps from event to event. Calls between them
cross a network that delays, cuts and loses (network.py); disks sync after a while, and what was being written
when power went is there or not."""

import asyncio
import json
import random

from honeywood.gateway.controller.program import Controller
from honeywood.gateway.proxy.program import Proxy
from honeywood.lab.emulator.boot import BOUNDS, settings
from honeywood.lab.emulator.loop import Loop
from honeywood.lab.emulator.network import OUTSIDE, Network, Wire
from honeywood.lab.emulator.process import Process
from honeywood.lab.emulator.silent_log import SilentLog

__all__ = ["OUTSIDE", "Loop", "MemoryDisk", "World"]

EPOCH_S = 1e9  # the time of day at which a world begins
LOOK_S = 0.05  # seconds between two looks while time passes
CLOSING_ROUNDS = 4  # in each the tasks end that waited for those of the one before


class MemoryDisk:
    """A disk of the world: what was put stays, unless it is wiped."""

    kept = None  # {folder: rows}, set by the world

    def __init__(self, folder):
        """`folder` names the disk."""
        self.mine = self.kept.setdefault(folder, {})

    def rows(self):
        """All rows by key."""
        return dict(self.mine)

    def put(self, rows):
        """Writes rows, or removes those that are None."""
        self.mine.update(json.loads(json.dumps(rows)))
        for key in [key for key, row in rows.items() if row is None]:
            del self.mine[key]


class FailureLog(SilentLog):
    """Records only loops that failed for a reason that nobody foresaw, in `raised`."""

    def __init__(self, raised: list) -> None:
        """Append to `raised`."""
        self.raised = raised

    def info(self, event: str, min_interval_s: float = 0.0, **fields: object) -> None:
        """Take an event of a program."""
        if event == "periodic task failed" and not fields["foreseen"]:
            self.raised.append(RuntimeError(f"{fields['step']}: {fields['why']}"))


class World(Network):
    """Programs by name: `controllers` a b c ..., `fronts` (proxies) f g h ...; a name in no `zones` is in
    "z". What calls the system from outside is OUTSIDE in `cuts`, which are pairs (from, to)."""

    def __init__(self, controllers="abc", fronts="", seed=0, bear=1, zones=None, bounds=BOUNDS):
        """`bear` disks may be lost at once; `bounds` are the figures of the settings file."""
        super().__init__(Loop(), seed)
        self.controllers, self.fronts, self.bear = controllers, fronts, bear
        self.disks, self.executors = {}, {}  # by name
        self.zones, self.bounds = zones or {}, bounds
        self.fresh, self.skew = True, {}  # seconds by which a node's time of day is off
        self.seeds, self.held = {}, {}  # a node's own seeds; its pace
        self.gone = set()  # machines that were removed for good
        self.log = FailureLog(self.raised)  # of all programs

    def start(self, name):
        """Starts a program, unless its machine was removed for good."""
        if name in self.gone:
            return
        program = self._program(name)
        self.lives[name] = self.lives.get(name, 0) + 1
        if name in self.controllers:
            self.loop.trouble[program.register.state.executor] = self.loop.trouble.pop(
                self.executors.get(name), 1.0
            )
            self.executors[name] = program.register.state.executor
        process = self.processes[name] = Process(self.loop, name)
        process.hold(self.held.get(name, 1.0))
        process.run(self._begin(name, program, self.lives[name]))

    def _program(self, name):
        """The real program of a name, made from its settings file, that writes no log."""
        seeds, zone = self.seeds.get(name, self.controllers[:3]), self.zones.get(name, "z")
        found = settings(name, seeds, zone=zone, fresh=self.fresh, bear=self.bear, bounds=self.bounds)
        clock = self.loop.time

        def time_of_day():
            return EPOCH_S + clock() + self.skew.get(name, 0.0)

        if name in self.controllers:
            kind, more = Controller, {"disk": self._disk()}
        else:
            kind, more = Proxy, self.more(name)
        chance = random.Random(self.random.random())
        return kind(found, Wire(self, name), clock, time_of_day, random=chance, log=self.log, **more)

    def _disk(self):
        return type("Disk", (MemoryDisk,), {"kept": self.disks})

    def more(self, name):
        """What a proxy is handed besides."""
        return {}

    async def _begin(self, name, program, life):
        if name in self.controllers:
            await program.register.manager.open()
        if self.lives[name] == life:  # not killed meanwhile
            self.nodes[name] = program
            program.begin()

    def kill(self, name):
        """Ends a program at once; what it was writing is there or not."""
        self.lives[name] = self.lives.get(name, 0) + 1
        self.nodes.pop(name, None)
        if name in self.executors:
            self.loop.power(self.executors[name], self.random.random)
        if name in self.processes:
            self.processes.pop(name).end()

    def wipe(self, name):
        """Ends a program at once, and its disk is lost."""
        self.kill(name)
        self.disks.pop(name, None)

    def hold(self, name, pace):
        """Freezes a program's process (FROZEN), slows it so many times, or lets it run (1.0); a start
        doesn't change that."""
        self.held[name] = pace
        if name in self.processes:
            self.processes[name].hold(pace)

    def disk(self, name, times):
        """A disk that is `times` as slow, refuses writes (None), or does them and refuses (SPOILT)."""
        self.loop.trouble[self.executors[name]] = times

    def version(self, name):
        """The version a program holds; None where it holds none or is down."""
        program = self.nodes.get(name)
        if program is None:
            return None
        stamp = program.publisher.store.stamp("config")
        return stamp[0] if stamp else None

    def state(self, name, id):
        """A machine's state as a program knows it."""
        held = self.nodes[name].publisher.store.get(f"machine/{id}")
        return held["state"] if held else "unknown"

    def run(self, until, after=lambda: None):
        """Lets time pass up to `until`; `after` is called every LOOK_S."""

        async def pass_time():
            while self.loop.time() < until:
                await asyncio.sleep(min(LOOK_S, max(0.0, until - self.loop.time())))
                after()

        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(pass_time())

    def close(self):
        """Ends all programs and the loop."""
        for name in list(self.nodes):
            self.kill(name)
        for _ in range(CLOSING_ROUNDS):
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.run(self.loop.time() + 0.01)
        self.loop.close()
