"""The processes of a soak: started, killed, stopped, paused and cut off from each other."""

import asyncio
import json
import os
import re
import signal
import sys
from collections import defaultdict
from pathlib import Path

from honeywood.lab.emulator.boot import boot
from honeywood.lab.soak.node import CUTS_FILE

CONTROLLERS, PROXIES = 3, 3
HTTP, READY, CTL, FIRST, LAST, METRICS = 18080, 18081, 18082, 18090, 18099, 19464
STOPPED_WITHIN_S = 8.0  # more than grace_s: who was told to end has ended
FAULTS = re.compile(r'"event": "(invariant violated|periodic task failed|library)"')
EXPECTED = re.compile(r'"foreseen": true')  # loops that failed for what peers did


class Nodes:
    """All processes of one soak. Their addresses are 127.`slot`.0.x: several soaks may run at once."""

    def __init__(self, folder: Path, slot: int):
        self.folder, self.slot = folder, slot
        self.controllers = [f"127.{slot}.0.{11 + at}" for at in range(CONTROLLERS)]
        self.proxies = [f"127.{slot}.0.{21 + at}" for at in range(PROXIES)]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.starting: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.cuts: dict[str, set[str]] = {ip: set() for ip in (*self.controllers, *self.proxies)}
        self.fresh = True

    async def start_all(self):
        """Starts all processes at once, for the first time."""
        for ip in (*self.controllers, *self.proxies):
            await self.start(ip)
        self.fresh = False

    async def start(self, ip: str):
        """Starts a process, unless it runs: two troubles may want to start one node again at once."""
        async with self.starting[ip]:
            held = self.processes.get(ip)
            if held is None or held.returncode is not None:
                await self._start(ip)

    async def _start(self, ip):
        seeds = [f"{one}:{CTL}" for one in self.controllers]
        ports, data = (HTTP, READY, CTL, FIRST, LAST), str(self.folder / ip)
        settings = self.folder / f"{ip}.toml"
        settings.write_text(boot(ip, "hall", seeds, data=data, ports=ports, fresh=self.fresh))
        self._write_cuts(ip)
        role = "controller" if ip in self.controllers else "proxy"
        environment = {"HONEYWOOD_NODE_FILE": str(settings), CUTS_FILE: str(self._cuts_path(ip))}
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.processes[ip] = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "honeywood.lab.soak.node", role, "--metrics", str(METRICS)),
                stdout=log,
                stderr=log,
                env={**os.environ, **environment},
            )

    def signal(self, ip: str, number: signal.Signals):
        """Sends a signal to a process that runs."""
        if self.processes[ip].returncode is None:
            self.processes[ip].send_signal(number)

    async def kill(self, ip: str):
        """Ends a process at once."""
        self.signal(ip, signal.SIGKILL)
        await self.processes[ip].wait()

    async def stop(self, ip: str):
        """Tells a process to end and waits until it has."""
        self.signal(ip, signal.SIGTERM)
        try:
            await asyncio.wait_for(self.processes[ip].wait(), STOPPED_WITHIN_S)
        except TimeoutError:
            await self.kill(ip)

    def cut(self, ip: str, others: set[str]):
        """`ip` doesn't reach `others` any more; nodes among these don't reach it either."""
        self._change_cuts(ip, others, set.update)

    def join(self, ip: str, others: set[str]):
        """Ends a cut."""
        self._change_cuts(ip, others, set.difference_update)

    def _change_cuts(self, ip, others, change):
        change(self.cuts[ip], others)
        self._write_cuts(ip)
        for other in others & self.cuts.keys():
            change(self.cuts[other], {ip})
            self._write_cuts(other)

    def _cuts_path(self, ip):
        return self.folder / f"{ip}.cuts"

    def _write_cuts(self, ip):
        """Writes the file as a whole: the process may read it at any moment."""
        written = self.folder / f"{ip}.cuts.new"
        written.write_text(json.dumps(sorted(self.cuts[ip])))
        written.rename(self._cuts_path(ip))

    def complaints(self) -> list[str]:
        """Lines of the logs that tell of a fault of ours."""
        found = []
        for ip in self.cuts:
            lines = (self.folder / f"{ip}.log").read_text(errors="replace").splitlines()
            found += [f"{ip}: {line}" for line in lines if FAULTS.search(line) and not EXPECTED.search(line)]
            found += [f"{ip}: {line}" for line in lines if line.startswith("Traceback")]
        return found

    async def end(self):
        """Ends all processes."""
        for ip, process in self.processes.items():
            if process.returncode is None:
                self.signal(ip, signal.SIGCONT)
                await self.kill(ip)
