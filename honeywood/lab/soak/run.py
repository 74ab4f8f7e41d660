"""One soak by a seed: starts everything, brings the drawn troubles about, and judges what was seen.

The processes are the real ones; machines, clients and operator are played here, over real sockets.
"""

import asyncio
import random
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from honeywood.lab.soak.nodes import HTTP, METRICS, READY, Nodes
from honeywood.lab.soak.operator import SoakOperator
from honeywood.lab.soak.peers import SoakClients, SoakMachine
from honeywood.lab.soak.rules import Breach, Record, breaches
from honeywood.lab.soak.troubles import Trouble, TroubleKind, draw

MACHINES = 4  # of each service
PER_S = 60.0  # requests a second
HEARTBEAT_S = 0.5
READY_WITHIN_S = 20.0
SETTLES_S = 4.0  # after the troubles, before the end is looked at
LAG_STEP_S = 0.02
SHARE = 0.4  # of machines' requests, or of clients, that a trouble touches
OPEN_FIGURES = ("honeywood_open_requests", "honeywood_open_attempts")


@dataclass(slots=True)
class Outcome:
    """What came of a soak."""

    seed: int
    troubles: tuple[Trouble, ...]
    breaches: list[Breach]
    tries: int
    served: int
    left: int
    runs: int
    observer_lag_s: float


class Soak:
    """The parts of one soak."""

    def __init__(self, seed: int, seconds: float, slot: int, folder: Path):
        self.seed, self.seconds, self.clock = seed, seconds, time.monotonic
        self.chance, self.record = random.Random(seed), Record()
        self.nodes = Nodes(folder, slot)
        self.operator = SoakOperator(self.record, self.nodes.controllers, self.chance)
        self.machines = [
            SoakMachine(self.record, f"i-{kind}-{at}", kind, self.chance, self.clock)
            for kind in ("safe", "unsafe")
            for at in range(MACHINES)
        ]
        places = {ip: (ip, HTTP) for ip in self.nodes.proxies}
        self.clients = SoakClients(self.record, places, self.chance, self.clock, lambda: self.operator.known)

    async def play(self) -> Outcome:
        """Plays it to its end."""
        troubles, background = draw(self.seed, self.seconds), []
        try:
            for machine in self.machines:
                await machine.open()
            await self.nodes.start_all()
            background = [asyncio.ensure_future(work) for work in (self._heartbeats(), self._watch_lag())]
            await self.operator.configure()
            await self._all_ready()
            caused = [asyncio.ensure_future(self._cause(trouble)) for trouble in troubles]
            await self.clients.run(self.seconds, PER_S)
            await asyncio.gather(*caused)
            await self._all_ready()
            await asyncio.sleep(SETTLES_S)
            await self.operator.read_back()
            await self._look_for_leftovers()
            self.record.complaints += self.nodes.complaints()
        finally:
            for task in background:
                task.cancel()
            await self.nodes.end()
            for machine in self.machines:
                machine.server.close()
        return self._outcome(troubles)

    def _outcome(self, troubles):
        tries = self.record.tries.values()
        return Outcome(
            self.seed,
            troubles,
            breaches(self.record),
            len(tries),
            sum(one.status == 200 for one in tries),
            sum(one.left_at is not None for one in tries),
            len(self.record.runs),
            self.record.observer_lag_s,
        )

    async def _heartbeats(self):
        while True:
            for machine in self.machines:
                name = f"instances.heartbeat&of={machine.id}"
                asyncio.ensure_future(self._heartbeat(name, machine.heartbeat()))
            await asyncio.sleep(HEARTBEAT_S)

    async def _heartbeat(self, name, body):
        await self.operator.call(name, body)

    async def _watch_lag(self):
        """Notes for how long this process itself stood still: what it saw then was seen late."""
        while True:
            due = self.clock() + LAG_STEP_S
            await asyncio.sleep(LAG_STEP_S)
            self.record.observer_lag_s = max(self.record.observer_lag_s, self.clock() - due)

    async def _all_ready(self):
        """Waits until all proxies call themselves ready, within a bound."""
        until = self.clock() + READY_WITHIN_S
        for ip in self.nodes.proxies:
            while b" 200 " not in await _page(ip, READY, "/v1/readyz"):
                if self.clock() > until:
                    self.record.complaints.append(f"{ip} is not ready after {READY_WITHIN_S:g} s")
                    break
                await asyncio.sleep(0.05)

    async def _look_for_leftovers(self):
        for ip in self.nodes.proxies:
            lines = (await _page(ip, METRICS, "/metrics")).decode().splitlines()
            figures = dict(line.rsplit(" ", 1) for line in lines if line.startswith(OPEN_FIGURES))
            missing = [name for name in OPEN_FIGURES if name not in figures]
            self.record.complaints += [f"{ip} doesn't tell {name}" for name in missing]
            self.record.open_at_end[ip] = sum(float(value) for value in figures.values())

    # troubles
    async def _cause(self, trouble):
        await asyncio.sleep(trouble.at_s)
        begun = self.clock()
        touched = await self._causes()[trouble.kind](trouble)
        for ip in touched or ():
            self.record.disturbed[ip].append((begun, self.clock()))

    def _causes(self):
        return {
            TroubleKind.KILL: self._kill,
            TroubleKind.STOP: self._stop,
            TroubleKind.PAUSE: self._pause,
            TroubleKind.CUT: self._cut,
            TroubleKind.CUT_FROM_MACHINES: self._cut_from_machines,
            TroubleKind.LOST_ANSWERS: lambda trouble: self._touch_machines(trouble, "lost"),
            TroubleKind.STRAY_ANSWERS: lambda trouble: self._touch_machines(trouble, "stray"),
            TroubleKind.SLOW_MACHINES: lambda trouble: self._touch_machines(trouble, "slow"),
            TroubleKind.LEAVING_CLIENTS: self._leave,
            TroubleKind.CONFIGURE: self._configure,
        }

    def _node(self, trouble):
        """The node whom the trouble's target stands for."""
        every = [*self.nodes.controllers, *self.nodes.proxies]
        return every[int(trouble.target * len(every))]

    async def _kill(self, trouble):
        ip = self._node(trouble)
        await self.nodes.kill(ip)
        await asyncio.sleep(trouble.for_s)
        await self.nodes.start(ip)
        return [ip]

    async def _stop(self, trouble):
        ip = self._node(trouble)
        await self.nodes.stop(ip)
        await self.nodes.start(ip)
        return [ip]

    async def _pause(self, trouble):
        ip = self._node(trouble)
        self.nodes.signal(ip, signal.SIGSTOP)
        await asyncio.sleep(trouble.for_s)
        self.nodes.signal(ip, signal.SIGCONT)
        return [ip]

    async def _cut(self, trouble):
        ip, every = self._node(trouble), {*self.nodes.controllers, *self.nodes.proxies}
        others = set(random.Random(trouble.target).sample(sorted(every - {ip}), k=len(every) // 2))
        self.nodes.cut(ip, others)
        await asyncio.sleep(trouble.for_s)
        self.nodes.join(ip, others)
        return [ip, *others]

    async def _cut_from_machines(self, trouble):
        ip = self.nodes.proxies[int(trouble.target * len(self.nodes.proxies))]
        machines = {machine.address for machine in self.machines[:: 2 + int(trouble.target * 2)]}
        self.nodes.cut(ip, machines)
        await asyncio.sleep(trouble.for_s)
        self.nodes.join(ip, machines)
        return [ip]

    async def _touch_machines(self, trouble, share):
        touched = self.machines[int(trouble.target * 2) :: 2]
        for machine in touched:
            setattr(machine, share, SHARE)
        await asyncio.sleep(trouble.for_s)
        for machine in touched:
            setattr(machine, share, 0.0)

    async def _leave(self, trouble):
        self.clients.leaving = SHARE
        await asyncio.sleep(trouble.for_s)
        self.clients.leaving = 0.0

    async def _configure(self, trouble):
        await self.operator.configure()


async def _page(ip, port, path):
    """The whole answer of a GET, nothing where there is none."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n".encode())
            found = await reader.read()
            writer.close()
            return found
    except (OSError, TimeoutError):
        return b""


def play(seed: int, seconds: float, slot: int = 1, folder: str | None = None) -> Outcome:
    """Plays one soak; logs and disks go to `folder`, which must not be there yet, or to one that is removed
    afterwards."""
    if folder is not None:
        Path(folder).mkdir(parents=True)  # an earlier run's disks and logs must not be taken for this one's
        return asyncio.run(Soak(seed, seconds, slot, Path(folder)).play())
    with tempfile.TemporaryDirectory(prefix="honeywood-soak-") as made:
        return asyncio.run(Soak(seed, seconds, slot, Path(made)).play())
