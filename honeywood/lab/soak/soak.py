"""Runs one soak test: starts all processes, injects faults drawn from a seed, and checks the observations.

The proxies and controllers are the real programs; machines, clients and operator are scripted in this process
and communicate over real sockets.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

from honeywood.lab.soak import http_probe
from honeywood.lab.soak.address_slot import reserved_slot
from honeywood.lab.soak.client_context import ClientContext
from honeywood.lab.soak.clients import SoakClients
from honeywood.lab.soak.cluster import HTTP_PORT, METRICS_PORT, PROXIES, READY_PORT, Cluster
from honeywood.lab.soak.fault_injector import FaultInjector
from honeywood.lab.soak.faults import Fault, draw_faults, draw_rollout_faults
from honeywood.lab.soak.machine import SoakMachine
from honeywood.lab.soak.operator_client import OperatorClient
from honeywood.lab.soak.persistent_clients import CONNECTION_ENDS, PersistentClients
from honeywood.lab.soak.record import Record, RolloutObservation
from honeywood.lab.soak.rules import Violation, find_violations
from honeywood.lab.soak.version_plan import NEW_VERSION, draw_version_plan
from honeywood.lab.soak.version_rollout import VersionRollout

if TYPE_CHECKING:
    from honeywood.gateway.rpc.client import JsonObject

SERVICES = ("safe", "unsafe")
MACHINES_PER_SERVICE = 4
FIRST_MACHINE_NUMBER = 2  # the last number of the first machine's address
REQUESTS_PER_S = 60.0
"""Of all clients that open a connection for each request."""
ROLLOUT_REQUESTS_PER_S = 150.0
"""The same in a soak with a rollout: enough that versions can be compared within its time."""
PERSISTENT_CLIENTS_PER_PROXY = 4
HEARTBEAT_INTERVAL_S = 0.5
READY_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.05
SETTLING_S = 4.0
"""The time after the faults, before the state at the end is checked."""
LAG_CHECK_INTERVAL_S = 0.02
OPEN_GAUGES = ("honeywood_open_requests", "honeywood_open_attempts")


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """How many proxies a soak has, whose programs it runs, and whether it rolls out a new version.

    `checkout` holds the programs; by default they are those of this checkout.
    """

    proxies: int = PROXIES
    checkout: Path | None = None
    rolls_out: bool = False


@dataclass(slots=True)
class Outcome:
    """The result of a soak."""

    seed: int
    faults: tuple[Fault, ...]
    violations: list[Violation]
    requests: int
    served: int
    disconnected: int
    executions: int
    observer_lag_s: float
    counts: Counter[str]
    rollout: RolloutObservation | None
    courses: dict[str, list[str]]
    """The course of each request that violated a rule, in lines, by the violation's details."""


class Soak:
    """One soak test, with its processes, machines, clients and operator."""

    def __init__(self, seed: int, traffic_s: float, slot: int, folder: Path, settings: SoakSettings) -> None:
        """`slot` selects the addresses of the processes, which keep their files in `folder`."""
        self._seed = seed
        self._traffic_s = traffic_s
        self._clock = time.monotonic
        self._record = Record()
        self._settings = settings
        self._faults = (draw_rollout_faults if settings.rolls_out else draw_faults)(seed, traffic_s)
        rng = random.Random(seed)
        self._cluster = Cluster(folder, slot, settings.proxies, settings.checkout)
        self._cluster.on_kill = lambda ip: self._record.kills[ip].append(self._clock())
        self._operator = OperatorClient(self._record, self._cluster.controllers, rng)
        names = [(service, index) for service in SERVICES for index in range(MACHINES_PER_SERVICE)]
        addresses = machine_addresses(slot)
        self._machines = [
            SoakMachine(self._record, f"i-{service}-{index}", service, ip, rng, self._clock)
            for (service, index), ip in zip(names, addresses, strict=False)
        ]
        plan = draw_version_plan(seed, SERVICES)
        self._new_machines = [
            SoakMachine(self._record, f"i-new-{index}", plan.service, ip, rng, self._clock, NEW_VERSION)
            for index, ip in enumerate(addresses[len(names) :])
        ]
        earlier_machines = [machine for machine in self._machines if machine.service == plan.service]
        self._rollout = VersionRollout(
            plan, self._record, self._operator, earlier_machines, self._new_machines, self._clock
        )
        clients = self._client_context(rng)
        self._clients = SoakClients(clients)
        self._persistent_clients = PersistentClients(clients)
        self._injector = FaultInjector(
            self._record, self._cluster, self._machines, self._clients, self._operator, self._clock
        )
        self._heartbeats: set[asyncio.Future[JsonObject | None]] = set()

    def _client_context(self, rng: random.Random) -> ClientContext:
        addresses = {ip: (ip, HTTP_PORT) for ip in self._cluster.proxies}
        operator = self._operator
        return ClientContext(self._record, addresses, rng, self._clock, lambda: operator.known_keys)

    async def run(self) -> Outcome:
        """Run the soak to its end."""
        background: list[asyncio.Future[None]] = []
        try:
            for machine in self._machines:
                await machine.open()
            await self._cluster.start_all()
            background = [
                asyncio.ensure_future(task) for task in (self._send_heartbeats(), self._measure_lag())
            ]
            await self._run_traffic()
            await self._observe_end()
        finally:
            await self._close(background)
        return self._outcome()

    async def _run_traffic(self) -> None:
        await self._operator.replace_configuration()
        await self._wait_until_ready()
        injected = [asyncio.ensure_future(self._injector.inject(fault)) for fault in self._faults]
        rollout = [self._rollout.run(self._traffic_s)] if self._settings.rolls_out else []
        persistent = PERSISTENT_CLIENTS_PER_PROXY * len(self._cluster.proxies)
        requests_per_s = ROLLOUT_REQUESTS_PER_S if self._settings.rolls_out else REQUESTS_PER_S
        await asyncio.gather(
            self._clients.run(self._traffic_s, requests_per_s),
            self._persistent_clients.run(self._traffic_s, persistent),
            *rollout,
            *injected,
        )

    async def _observe_end(self) -> None:
        await self._wait_until_ready()
        await asyncio.sleep(SETTLING_S)
        await self._operator.read_back()
        for ip in self._cluster.proxies:
            await self._read_open_gauges(ip)
        self._record.errors += self._cluster.logged_errors()

    async def _close(self, background: Sequence[asyncio.Future[None]]) -> None:
        for task in background:
            task.cancel()
        await self._cluster.close()
        for machine in (*self._machines, *self._new_machines):
            machine.close()

    def _outcome(self) -> Outcome:
        requests = self._record.requests.values()
        violations = find_violations(self._record, frozenset(self._cluster.controllers))
        return Outcome(
            self._seed,
            self._faults,
            violations,
            len(requests),
            sum(request.status == HTTPStatus.OK for request in requests),
            sum(request.disconnected_at is not None for request in requests),
            len(self._record.executions),
            self._record.observer_lag_s,
            self._record.counts + count_unanswered_executions(self._record),
            self._record.rollout,
            {violation.details: describe_course(self._record, violation) for violation in violations},
        )

    async def _send_heartbeats(self) -> None:
        while True:
            for machine in (*self._machines, *self._rollout.started_machines):
                if machine.has_left:
                    continue
                name = f"instances.heartbeat&of={machine.id}"
                call = asyncio.ensure_future(self._operator.call(name, machine.next_heartbeat()))
                self._heartbeats.add(call)
                call.add_done_callback(self._heartbeats.discard)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _measure_lag(self) -> None:
        """Record for how long this process did not run, since its observations are delayed by that time."""
        while True:
            due = self._clock() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self._record.observer_lag_s = max(self._record.observer_lag_s, self._clock() - due)

    async def _wait_until_ready(self) -> None:
        """Wait until all proxies report ready; record an error for each that doesn't in time."""
        deadline = self._clock() + READY_TIMEOUT_S
        for ip in self._cluster.proxies:
            while b" 200 " not in await http_probe.get(ip, READY_PORT, "/v1/readyz"):
                if self._clock() > deadline:
                    self._record.errors.append(f"{ip} is not ready after {READY_TIMEOUT_S:g} s")
                    break
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _read_open_gauges(self, ip: str) -> None:
        lines = (await http_probe.get(ip, METRICS_PORT, "/metrics")).decode().splitlines()
        gauges = dict(line.rsplit(" ", 1) for line in lines if line.startswith(OPEN_GAUGES))
        missing = [name for name in OPEN_GAUGES if name not in gauges]
        self._record.errors += [f"{ip} doesn't report {name}" for name in missing]
        self._record.open_at_end[ip] = sum(float(value) for value in gauges.values())


def machine_addresses(slot: int) -> list[str]:
    """Return an address for each machine of a soak, in a network beside that of its processes.

    The last MACHINES_PER_SERVICE ones are those of a new version.
    """
    count = (len(SERVICES) + 1) * MACHINES_PER_SERVICE
    return [f"127.{slot}.1.{FIRST_MACHINE_NUMBER + index}" for index in range(count)]


def count_unanswered_executions(record: Record) -> Counter[str]:
    """Count the requests that were executed though their connection ended without a response, by its end."""
    executed = {execution.request_id for execution in record.executions}
    ends = (event.what for request_id in executed for event in record.events[request_id])
    return Counter(f"executed, but {end}" for end in ends if end in CONNECTION_ENDS)


def describe_course(record: Record, violation: Violation) -> list[str]:
    """Return what clients and machines saw of the requests that a violation names, in the order of time."""
    named = {word.encode() for word in violation.details.split()}
    requests = [one for one in record.requests.values() if {one.id, one.operation} & named]
    events = sorted((event.at, one.id, event) for one in requests for event in record.events[one.id])
    return [f"{at:.4f} {name.decode()} {event.where}: {event.what}" for at, name, event in events]


def run_soak(
    seed: int, traffic_s: float, folder: Path | None = None, settings: SoakSettings = SoakSettings()
) -> Outcome:
    """Run one soak.

    Logs and data are kept in `folder`, which must not exist yet, or else in a temporary folder.
    """
    if folder is not None:
        folder.mkdir(parents=True)  # fails if it exists, so that data and logs of an earlier run are not used
        return _run_in(folder, seed, traffic_s, settings)
    with tempfile.TemporaryDirectory(prefix="honeywood-soak-") as temporary:
        return _run_in(Path(temporary), seed, traffic_s, settings)


def _run_in(folder: Path, seed: int, traffic_s: float, settings: SoakSettings) -> Outcome:
    with reserved_slot() as slot:
        return asyncio.run(Soak(seed, traffic_s, slot, folder, settings).run())
