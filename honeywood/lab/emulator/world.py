"""Runs controllers and proxies, the real programs, on one simulated clock that jumps from event to event.

Calls between them cross a simulated network with delays, partitions and message loss (network.py). A write to
a disk takes some time; a write in progress when power is lost takes effect or is lost, at random.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Executor
from typing import TYPE_CHECKING

from honeywood.gateway.controller.program import Controller
from honeywood.gateway.proxy.program import Proxy
from honeywood.lab.emulator.boot import BOUNDS, settings
from honeywood.lab.emulator.disk import MemoryStore
from honeywood.lab.emulator.loop import HEALTHY_DISK, DiskFault, Loop
from honeywood.lab.emulator.network import OUTSIDE, Network
from honeywood.lab.emulator.network_caller import NetworkCaller
from honeywood.lab.emulator.process import FULL_SPEED, Process
from honeywood.lab.emulator.silent_log import SilentLog

if TYPE_CHECKING:
    from honeywood.gateway.proxy.connection_pool import Connect
    from honeywood.gateway.register.persistent_state import Store
    from honeywood.lab.emulator.disk import Disks

__all__ = ["OUTSIDE", "Loop", "World"]

START_WALL_CLOCK_S = 1e9
"""The wall-clock time at which a world starts, in seconds since the epoch."""
CHECK_INTERVAL_S = 0.05
CLOSING_ROUNDS = 4
"""Each round ends the tasks that waited for tasks of the previous round."""
CLOSING_ROUND_S = 0.01
SEED_COUNT = 3
"""The number of controllers that are listed as seeds in each program's settings."""
DEFAULT_ZONE = "z"


class FailureLog(SilentLog):
    """A log that records only unexpected failures of periodic tasks."""

    def __init__(self, unexpected_errors: list[BaseException]) -> None:
        """Append the failures to `unexpected_errors`."""
        self._unexpected_errors = unexpected_errors

    def info(self, event: str, min_interval_s: float = 0.0, **fields: object) -> None:
        """Record the event if it reports an unexpected failure of a periodic task."""
        if event == "periodic task failed" and not fields["foreseen"]:
            self._unexpected_errors.append(RuntimeError(f"{fields['step']}: {fields['why']}"))


class World(Network):
    """A simulated system whose programs are identified by name.

    `controllers` and `proxies` are the names of the programs. A program that is not listed in `zones` is in
    DEFAULT_ZONE. `fresh` is the setting by which programs know that the whole system starts for the first
    time. `clock_offsets_s` and `slowdowns` hold the wall-clock offsets and slowdowns of individual programs,
    and `seeds` the seed controllers of programs that do not use the default ones. `removed` are the programs
    that were removed permanently.
    """

    def __init__(
        self,
        controllers: Sequence[str] = "abc",
        proxies: Sequence[str] = "",
        seed: int = 0,
        tolerated_failures: int = 1,
        zones: Mapping[str, str] | None = None,
        bounds: Mapping[str, float] = BOUNDS,
    ) -> None:
        """Create a world in which no program runs yet.

        `tolerated_failures` is the number of disks that may be lost at once; `bounds` are the bounds in the
        settings file.
        """
        super().__init__(Loop(), seed)
        self.controllers = controllers
        self.proxies = proxies
        self.tolerated_failures = tolerated_failures
        self.zones = zones or {}
        self.bounds = bounds
        self.disks: Disks = {}
        self.fresh = True
        self.clock_offsets_s: dict[str, float] = {}
        self.seeds: dict[str, Sequence[str]] = {}
        self.slowdowns: dict[str, float] = {}
        self.removed: set[str] = set()
        self._executors: dict[str, Executor] = {}
        self._log = FailureLog(self.unexpected_errors)

    def start(self, name: str) -> None:
        """Start a program, unless it was removed permanently."""
        if name in self.removed:
            return
        program = self._make_program(name)
        incarnation = self.incarnations.get(name, 0) + 1
        self.incarnations[name] = incarnation
        if isinstance(program, Controller):
            self._attach_disk(name, program.register.state.executor)
        process = Process(self.loop, name)
        self.processes[name] = process
        process.set_slowdown(self.slowdowns.get(name, FULL_SPEED))
        process.run(self._begin(name, program, incarnation))

    def _attach_disk(self, name: str, executor: Executor) -> None:
        """Assign a controller's disk, with its current fault, to the executor of a new incarnation."""
        previous = self._executors.get(name)
        fault = self.loop.disk_faults.pop(previous, HEALTHY_DISK)
        self.loop.disk_faults[executor] = fault
        self._executors[name] = executor

    def _make_program(self, name: str) -> Controller | Proxy:
        """Create the real controller or proxy with the given name; it writes no log."""
        seeds = self.seeds.get(name, self.controllers[:SEED_COUNT])
        program_settings = settings(
            name,
            seeds,
            zone=self.zones.get(name, DEFAULT_ZONE),
            fresh=self.fresh,
            tolerated_failures=self.tolerated_failures,
            bounds=self.bounds,
        )
        caller = NetworkCaller(self, name)
        clock = self.loop.time

        def wall_clock() -> float:
            return START_WALL_CLOCK_S + clock() + self.clock_offsets_s.get(name, 0.0)

        common = program_settings, caller, clock, wall_clock
        connect = None if name in self.controllers else self.connect_of(name)
        rng = random.Random(self.random.random())
        if name in self.controllers:
            return Controller(*common, random=rng, log=self._log, disk=self.open_disk)
        if connect is None:
            return Proxy(*common, random=rng, log=self._log)
        return Proxy(*common, random=rng, log=self._log, connect=connect)

    def open_disk(self, folder: str) -> Store:
        """Return the row store on the disk with the given folder name."""
        return MemoryStore(self.disks, folder)

    def connect_of(self, name: str) -> Connect | None:
        """Return the function that opens a proxy's connections to machines; None for real connections."""
        return None

    async def _begin(self, name: str, program: Controller | Proxy, incarnation: int) -> None:
        if isinstance(program, Controller):
            await program.register.manager.open()
        if self.incarnations[name] == incarnation:  # not killed or restarted while it opened its disk
            self.nodes[name] = program
            program.begin()

    def kill(self, name: str) -> None:
        """Terminate a program; each of its writes in progress takes effect or is lost, at random."""
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.nodes.pop(name, None)
        if name in self._executors:
            self.loop.lose_power(self._executors[name], self.random.random)
        if name in self.processes:
            self.processes.pop(name).terminate()

    def terminate(self, name: str) -> asyncio.Task[None]:
        """Send SIGTERM to a controller, which ends by itself; it is killed after grace_s seconds."""
        return self.loop.create_task(self._terminate(name, self.incarnations.get(name, 0)))

    async def _terminate(self, name: str, incarnation: int) -> None:
        program, process = self.nodes.get(name), self.processes.get(name)
        if isinstance(program, Controller) and process is not None:
            leaving = process.run(program.leave())
            await asyncio.wait([leaving], timeout=self.bounds["grace_s"])
            if leaving.done() and not leaving.cancelled() and (error := leaving.exception()):
                self.unexpected_errors.append(error)
        if self.incarnations.get(name, 0) == incarnation:  # not killed or restarted meanwhile
            self.kill(name)

    def wipe(self, name: str) -> None:
        """Terminate a program and delete its disk."""
        self.kill(name)
        self.disks.pop(name, None)

    def set_slowdown(self, name: str, slowdown: float) -> None:
        """Set the slowdown of a program's process, FULL_SPEED to FROZEN; it also applies after restarts."""
        self.slowdowns[name] = slowdown
        if name in self.processes:
            self.processes[name].set_slowdown(slowdown)

    def set_disk_fault(self, name: str, fault: DiskFault) -> None:
        """Set the fault of a controller's disk; HEALTHY_DISK clears it."""
        self.loop.disk_faults[self._executors[name]] = fault

    def version(self, name: str) -> int | None:
        """Return the version of the configuration that a program stores; None if it has none or is down."""
        program = self.nodes.get(name)
        if program is None:
            return None
        stamp = program.publisher.store.stamp("config")
        return stamp[0] if stamp else None

    def state(self, name: str, machine_id: str) -> str:
        """Return a machine's state in the records of a program, or "unknown"."""
        record = self.nodes[name].publisher.store.get(f"machine/{machine_id}")
        state: str = record["state"] if record else "unknown"
        return state

    def run(self, until: float, on_check: Callable[[], object] = lambda: None) -> None:
        """Run the world until the given time in seconds and call `on_check` every CHECK_INTERVAL_S."""

        async def pass_time() -> None:
            while self.loop.time() < until:
                await asyncio.sleep(min(CHECK_INTERVAL_S, max(0.0, until - self.loop.time())))
                on_check()

        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(pass_time())

    def close(self) -> None:
        """Terminate all programs and close the loop."""
        for name in list(self.nodes):
            self.kill(name)
        for _ in range(CLOSING_ROUNDS):
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.run(self.loop.time() + CLOSING_ROUND_S)
        self.loop.close()
