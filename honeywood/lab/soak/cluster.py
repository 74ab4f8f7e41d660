"""Starts, kills, stops, pauses and partitions the processes of a soak test."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
from collections import defaultdict
from collections.abc import Callable, Set
from pathlib import Path

from honeywood.lab.emulator.boot import settings_text
from honeywood.lab.soak.node import BLOCKED_ADDRESSES_FILE

CONTROLLERS, PROXIES = 3, 3
HTTP_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT = 18080, 18081, 18082, 19464
FIRST_PORT, LAST_PORT = 18090, 18099
STOP_TIMEOUT_S = 8.0  # longer than the setting grace_s, the time limit of a graceful shutdown
ERROR_EVENTS = re.compile(r'"event": "(invariant violated|periodic task failed|library)"')
EXPECTED_ERRORS = re.compile(r'"foreseen": true')  # periodic tasks that failed because of a peer


class Cluster:
    """All processes of one soak, by IP address 127.`slot`.0.x, so that several soaks can run in parallel."""

    def __init__(self, folder: Path, slot: int, proxies: int = PROXIES, checkout: Path | None = None) -> None:
        """`folder` is where the processes keep their settings, logs and data.

        The programs are those of `checkout`, by default those that this process would import.
        """
        self.controllers = [f"127.{slot}.0.{11 + index}" for index in range(CONTROLLERS)]
        self.proxies = [f"127.{slot}.0.{21 + index}" for index in range(proxies)]
        self.on_kill: Callable[[str], None] = lambda ip: None
        self._folder = folder
        self._checkout = checkout
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._start_locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._blocked: dict[str, set[str]] = {ip: set() for ip in self.nodes}
        self._is_first_start = True

    @property
    def nodes(self) -> list[str]:
        """The addresses of all processes."""
        return [*self.controllers, *self.proxies]

    async def start_all(self) -> None:
        """Start all processes for the first time."""
        for ip in self.nodes:
            await self.start(ip)
        self._is_first_start = False

    async def start(self, ip: str) -> None:
        """Start a process unless it is running; two faults may restart the same process concurrently."""
        async with self._start_locks[ip]:
            process = self._processes.get(ip)
            if process is None or process.returncode is not None:
                await self._start(ip)

    async def _start(self, ip: str) -> None:
        settings = self._write_settings(ip)
        self._write_blocked(ip)
        role = "controller" if ip in self.controllers else "proxy"
        environment = {
            **os.environ,
            "HONEYWOOD_NODE_FILE": str(settings),
            BLOCKED_ADDRESSES_FILE: str(self._blocked_path(ip)),
        }
        module = "honeywood.lab.soak.node"
        with open(self._log_path(ip), "ab") as log:
            self._processes[ip] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, role, "--metrics", str(METRICS_PORT)),
                stdout=log,
                stderr=log,
                env=environment,
                cwd=self._checkout,  # the first place where the programs are looked for
            )

    def _write_settings(self, ip: str) -> Path:
        seeds = [f"{controller}:{CONTROL_PORT}" for controller in self.controllers]
        ports = HTTP_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT, LAST_PORT
        data = str(self._folder / ip)
        path = self._folder / f"{ip}.toml"
        path.write_text(settings_text(ip, "hall", seeds, data=data, ports=ports, fresh=self._is_first_start))
        return path

    def send_signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running; its settings file is rewritten before SIGHUP."""
        process = self._processes[ip]
        if number == signal.SIGHUP:
            self._write_settings(ip)
        if process.returncode is None:
            process.send_signal(number)

    async def kill(self, ip: str) -> None:
        """Kill a process."""
        self.on_kill(ip)
        self.send_signal(ip, signal.SIGKILL)
        await self._processes[ip].wait()

    async def stop(self, ip: str) -> None:
        """Terminate a process gracefully and wait for its end; kill it after STOP_TIMEOUT_S."""
        self.send_signal(ip, signal.SIGTERM)
        try:
            await asyncio.wait_for(self._processes[ip].wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            await self.kill(ip)

    def partition(self, ip: str, others: Set[str]) -> None:
        """Block `others` for a process, and the process for those of them that belong to the cluster."""
        self._change_blocked(ip, others, set.update)

    def heal(self, ip: str, others: Set[str]) -> None:
        """End the partition between a process and `others`."""
        self._change_blocked(ip, others, set.difference_update)

    def _change_blocked(
        self, ip: str, others: Set[str], change: Callable[[set[str], Set[str]], None]
    ) -> None:
        change(self._blocked[ip], others)
        self._write_blocked(ip)
        for other in others & self._blocked.keys():
            change(self._blocked[other], {ip})
            self._write_blocked(other)

    def _blocked_path(self, ip: str) -> Path:
        return self._folder / f"{ip}.blocked"

    def _write_blocked(self, ip: str) -> None:
        """Replace the file of blocked addresses atomically, since the process may read it at any time."""
        temporary_path = self._folder / f"{ip}.blocked.new"
        temporary_path.write_text(json.dumps(sorted(self._blocked[ip])))
        temporary_path.rename(self._blocked_path(ip))

    def _log_path(self, ip: str) -> Path:
        return self._folder / f"{ip}.log"

    def logged_errors(self) -> list[str]:
        """Return the lines of all logs that report an error of the system itself."""
        errors = []
        for ip in self.nodes:
            lines = self._log_path(ip).read_text(errors="replace").splitlines()
            unexpected = [line for line in lines if _is_unexpected_error(line)]
            tracebacks = [line for line in lines if line.startswith("Traceback")]
            errors += [f"{ip}: {line}" for line in (*unexpected, *tracebacks)]
        return errors

    async def close(self) -> None:
        """Kill all processes, including paused ones."""
        for ip, process in self._processes.items():
            if process.returncode is None:
                self.send_signal(ip, signal.SIGCONT)
                await self.kill(ip)


def _is_unexpected_error(line: str) -> bool:
    return bool(ERROR_EVENTS.search(line)) and not EXPECTED_ERRORS.search(line)
