"""A demonstration of the system on loopback: `python -m honeywood.lab.emulator.loopback`, or `make emulate`.

It runs three controllers and two proxies as real processes, with stand-in machines and a client, sends a
configuration and two rollouts, and prints what happens.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from honeywood.gateway.controller.call import CallName
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.rollout.record import RolloutState
from honeywood.gateway.rpc.client import Caller
from honeywood.gateway.rpc.connection import CONNECT_ERRORS, Connection
from honeywood.gateway.rpc.reply import ExchangeFailure
from honeywood.gateway.rpc.statuses import INTERNAL_ERROR, status_of
from honeywood.lab.emulator.boot import settings_text
from honeywood.standins.gateway_machine import Machine

if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.rpc.client import JsonObject

# The network depends on the process id, so that several runs fit on one machine; the soak uses 127.1 to
# 127.200.
NETWORK = f"127.{220 + os.getpid() % 30}.0"
CONTROLLERS = [f"{NETWORK}.{number}" for number in (11, 12, 13)]
PROXIES = [f"{NETWORK}.{number}" for number in (21, 22)]
HTTP_PORT, READY_PORT, CONTROL_PORT = 18080, 18081, 18082
FIRST_PORT, LAST_PORT = 18090, 18099
SERVICE, HOST, PATH = "parcels", "sort.example", b"/parcel/7"
MACHINES = 3
REQUESTS_PER_S = 60
REQUEST_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 1.0
CALL_ROUNDS = 20
RETRY_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 1.0
ROLLOUT_S = 10.0
ROLLOUT_POLL_INTERVAL_S = 0.25
ROLLOUT_PAUSE_S = 1.0
TRAFFIC_BEFORE_ROLLOUTS_S = 3.0
BAD_SHARE = 0.5


def configuration(version: int) -> JsonObject:
    """Return a configuration with one route to one service."""
    route = {
        "vhost": HOST,
        "pfx": "/parcel/",
        "kind": "safe",
        "timeout_s": 1.0,
        "target_s": 0.3,
        "prio": 1,
        "svc": SERVICE,
        "tries": 2,
    }
    service = {"hc_path": "/health", "max_conns": 50, "proto": "h1", "tls": False}
    return {
        "ver": f"{version:08x}",
        "res": [
            {"type": "routes", "hdr": {"name": "r"}, "spec": route},
            {"type": "svcs", "hdr": {"name": SERVICE}, "spec": service},
        ],
    }


class LoopbackSystem:
    """The processes, machines and client of the demonstration."""

    def __init__(self, folder: Path) -> None:
        """Prepare a system that keeps its settings, data and logs in `folder`."""
        self._folder = folder
        self._caller = Caller()
        self._began_at = time.monotonic()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._results: Counter[str] = Counter()
        self._requests: set[asyncio.Task[str]] = set()
        self._machines: list[Machine] = []
        self._random = random.Random(1)

    def _print(self, text: str) -> None:
        """Print a line with the time since the start."""
        print(f"{time.monotonic() - self._began_at:6.2f} s  {text}", flush=True)

    async def run(self, with_rollouts: bool) -> None:
        """Run the demonstration."""
        await self._start_processes()
        await self._order_configuration()
        self._machines = await _start_machines("v1", 0.0)
        background = [
            asyncio.ensure_future(task)
            for task in (self._send_heartbeats(), self._send_requests(), self._report_results())
        ]
        await asyncio.sleep(TRAFFIC_BEFORE_ROLLOUTS_S)
        if with_rollouts:
            await self._show_rollouts()
        response = await self._call(CallName.READ_CONFIGURATION)
        self._print(f"operator: config.read returned version {response['ver'] if response else 'nothing'}")
        for task in background:
            task.cancel()
        await self._stop_processes()

    async def _start_processes(self) -> None:
        for role, addresses in (("controller", CONTROLLERS), ("proxy", PROXIES)):
            for ip in addresses:
                await self._start_process(role, ip)
        self._print("three controllers and two proxies start")

    async def _start_process(self, role: str, ip: str) -> None:
        """Start a program as a process, with its settings in a file."""
        settings = self._folder / f"{ip}.toml"
        seeds = [f"{controller}:{CONTROL_PORT}" for controller in CONTROLLERS]
        ports = HTTP_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT, LAST_PORT
        settings.write_text(settings_text(ip, "hall", seeds, data=str(self._folder / ip), ports=ports))
        with open(self._folder / f"{ip}.log", "ab") as log:
            self._processes[ip] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", f"honeywood.gateway.{role}"),
                stdout=log,
                stderr=log,
                env={**os.environ, "HONEYWOOD_NODE_FILE": str(settings)},
            )

    async def _stop_processes(self) -> None:
        for ip, process in self._processes.items():
            if process.returncode is None:
                process.terminate()
                self._print(f"{ip} ended with status {await process.wait()}")

    async def _call(
        self, name: str, subject: str = "", body: Mapping[str, object] | None = None
    ) -> JsonObject | None:
        """Return the response of any controller; None if one rejects the call or none responds."""
        path = f"/v1/rpc?call={name}&of={subject}"
        for ip in self._random.sample(CONTROLLERS, len(CONTROLLERS)) * CALL_ROUNDS:
            try:
                return await self._caller.call(ip, CONTROL_PORT, path, dict(body or {}), CALL_TIMEOUT_S)
            except GatewayError as error:
                if status_of(error) < INTERNAL_ERROR:
                    return None
            await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def _order_configuration(self) -> None:
        response = await self._call(CallName.REPLACE_CONFIGURATION, "", configuration(1))
        result = "refused" if response is None else "acknowledged"
        self._print(f"operator: config.replace 00000001: {result}")

    async def _send_heartbeats(self) -> None:
        while True:
            for machine in self._machines:
                await self._call(CallName.HEARTBEAT, machine.id, machine.heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_requests(self) -> None:
        number = 0
        while True:
            number += 1
            request = asyncio.ensure_future(_send_request(number))
            self._requests.add(request)
            request.add_done_callback(self._on_result)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def _on_result(self, request: asyncio.Task[str]) -> None:
        self._requests.discard(request)
        self._results[request.result()] += 1

    async def _report_results(self) -> None:
        """Print the counts of the client's results periodically."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            results, self._results = self._results, Counter()
            counts = ", ".join(f"{count} x {result}" for result, count in sorted(results.items()))
            self._print("client: " + counts)

    async def _show_rollouts(self) -> None:
        """Roll out a good version, then a bad one while a controller is down."""
        await self._roll_out("v2", 0.0)
        await asyncio.sleep(ROLLOUT_PAUSE_S)
        self._print(f"controller {CONTROLLERS[0]} is killed")
        self._processes[CONTROLLERS[0]].send_signal(signal.SIGKILL)
        await self._roll_out("v3", BAD_SHARE)

    async def _roll_out(self, version: str, failing_share: float) -> None:
        """Roll out a version, wait for the outcome, and stop the machines of the version not in use."""
        self._machines += await _start_machines(version, failing_share)
        self._print(f"operator: rollouts.start to {version}; {failing_share:.0%} of its responses fail")
        order = {"svc": SERVICE, "to_ver": version, "over_s": ROLLOUT_S}
        await self._call(CallName.START_ROLLOUT, "", order)
        state = await self._wait_for_outcome()
        self._print(f"operator: rollouts.read returned {state}")
        is_reverted = state == RolloutState.REVERTED
        for machine in [
            candidate for candidate in self._machines if (candidate.version == version) == is_reverted
        ]:
            self._machines.remove(machine)
            await self._call(CallName.LEAVE, machine.id)
            machine.close()

    async def _wait_for_outcome(self) -> str:
        state: str = RolloutState.ACTIVE
        while state == RolloutState.ACTIVE:
            await asyncio.sleep(ROLLOUT_POLL_INTERVAL_S)
            response = await self._call(CallName.READ_ROLLOUT, SERVICE)
            state = RolloutState.ACTIVE if response is None else response["state"]
        return state


async def _start_machines(version: str, failing_share: float) -> list[Machine]:
    return [await Machine(SERVICE, version, failing_share).open() for _ in range(MACHINES)]


async def _send_request(number: int) -> str:
    """Send a request and return a description of its result."""
    ip = PROXIES[number % len(PROXIES)]
    headers = [(b"host", HOST.encode()), (b"x-try-id", b"%d" % number), (b"x-deadline-ms", b"1000")]
    try:
        connection = await Connection.open(ip, HTTP_PORT, REQUEST_TIMEOUT_S)
    except CONNECT_ERRORS:
        return "no connection"
    deadline = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
    reply = await connection.exchange(b"GET", PATH, headers, b"", deadline)
    connection.close()
    if isinstance(reply, ExchangeFailure):
        return "no response"
    return f"{reply.status} by {reply.body.decode()[:2]}"


def main() -> None:
    """Run the demonstration in a temporary folder."""
    parser = argparse.ArgumentParser(
        description="Run the system's processes on loopback and print what happens."
    )
    parser.add_argument("--no-rollouts", action="store_true", help="Send only a configuration and requests.")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(LoopbackSystem(Path(folder)).run(with_rollouts=not options.no_rollouts))


if __name__ == "__main__":
    main()
