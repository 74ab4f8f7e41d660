"""Plays a day: machines with heartbeats, clients, operators and faults on one clock, determined by a seed."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from honeywood.gateway.controller.call import CallName
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.routing.endpoint_state import READY
from honeywood.lab.emulator.boot import BOUNDS
from honeywood.lab.emulator.clients import Clients
from honeywood.lab.emulator.day import Day, Outcome
from honeywood.lab.emulator.faults.causes import cause
from honeywood.lab.emulator.faults.disturbance import start_spread
from honeywood.lab.emulator.fleet import Fleet
from honeywood.lab.emulator.machine_network import MachineNetwork
from honeywood.lab.emulator.omniscient_router import best_endpoint
from honeywood.lab.emulator.operators import Operators
from honeywood.lab.emulator.rules.monitor import Monitor
from honeywood.lab.emulator.rules.rule import Rule
from honeywood.lab.emulator.world import World

if TYPE_CHECKING:
    from honeywood.gateway.controller.program import Controller
    from honeywood.gateway.proxy.connection_pool import Connect
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.pending_request import PendingRequest
    from honeywood.gateway.rpc.connection import Connection

WARM_UP_S = 2.0
"""The time before traffic in which programs discover one another."""
SETTLING_S = 4.0
"""The time after traffic in which everything that was acknowledged must become readable."""
PENDING_CHECK_INTERVAL_S = 0.5
READ_BACK_TIMEOUT_S = 3.0
"""The maximum duration of the last read."""
READ_BACK_ATTEMPTS = 12
CONTROLLER_LINK_FACTOR = 12
"""The bandwidth of a controller's link divided by that of a proxy's link, as at the larger sites."""
WORK_S = {"s": 0.04, "u": 0.06}
"""The mean execution time of a request by service; "s" is idempotent, "u" is not."""
FIRST_VERSION = 1
MIN_WORTH_SHARE = 0.5


class EmulatedDay(World):
    """The world of one day.

    Each part has a separate random generator, so that a change of one part does not change the random numbers
    of the others.
    """

    def __init__(self, day: Day) -> None:
        """Prepare a day; nothing runs before `play`."""
        self.day = day
        self.zone_names = [f"z{index}" for index in range(day.zones)]
        controllers = tuple(f"b{index}" for index in range(2 * day.tolerated_failures + 1))
        proxies = tuple(f"f{index}" for index in range(day.proxies))
        zones = {
            name: self.zone_names[index % day.zones]
            for names in (controllers, proxies)
            for index, name in enumerate(names)
        }
        bounds = {**BOUNDS, **dict(day.bounds)}
        super().__init__(controllers, proxies, day.seed, day.tolerated_failures, zones, bounds)
        self.monitor = Monitor(bounds)
        self.outcome = Outcome()
        self.traffic_rng = random.Random(day.seed + 1)  # for clients, and for calls of machines
        machine_rng = random.Random(day.seed + 2)
        self.machines = MachineNetwork(self, machine_rng, self.monitor.requests, WORK_S.__getitem__)
        self.fleet = Fleet(self, random.Random(day.seed + 3))
        self.operators = Operators(self, random.Random(day.seed + 4))
        self.clients = Clients(self)
        self.start_rng = random.Random(day.seed + 5)  # for the start times of programs that start together
        self.replacements = 0  # the number of controllers that were replaced by new ones
        if day.link_bytes_per_s:
            controller_rate = day.link_bytes_per_s * CONTROLLER_LINK_FACTOR
            self.bytes_per_s = dict.fromkeys(controllers, controller_rate)
            self.bytes_per_s |= dict.fromkeys(proxies, day.link_bytes_per_s)

    def connect_of(self, name: str) -> Connect:
        """Return the function that opens a proxy's connections to the simulated machines."""

        async def connect(
            ip: str, port: int, timeout_s: float, on_count_change: Callable[[int], None]
        ) -> Connection:
            connection = await self.machines.connect(name, ip, timeout_s, on_count_change)
            return cast("Connection", connection)

        return connect

    async def _begin(self, name: str, program: Controller | Proxy, incarnation: int) -> None:
        await super()._begin(name, program, incarnation)
        if self.day.omniscient_routing and isinstance(program, Proxy):
            self._replace_router(program)

    def _replace_router(self, proxy: Proxy) -> None:
        def select(request: PendingRequest) -> Endpoint | None:
            return best_endpoint(self.machines, proxy, self.loop.time(), request)

        proxy.selector.select = select  # type: ignore[method-assign]

    def play(self) -> Outcome:
        """Play the day and return its outcome."""
        self._start()
        self.run(WARM_UP_S, self._check)
        self.fresh = False
        self._start_traffic()
        self.run(WARM_UP_S + self.day.traffic_s + SETTLING_S, self._check)
        self._wait_for_pending_orders()
        self._read_back()
        return self._finish()

    def _start(self) -> None:
        self.loop.create_task(start_spread(self, [*self.controllers, *self.proxies]))
        for service in WORK_S:
            for _ in range(self.day.machines):
                self.fleet.start(service)
        self.loop.create_task(self.operators.configure(FIRST_VERSION))
        self.loop.create_task(self.clients.watch_readiness())

    def _start_traffic(self) -> None:
        end = WARM_UP_S + self.day.traffic_s
        self.loop.create_task(self.clients.run(end))
        for fault in self.day.faults:
            self.loop.create_task(cause(self, fault, WARM_UP_S))
        self.loop.create_task(self.operators.read_continuously())
        if self.day.configuration_changes:
            self.loop.create_task(self.operators.change_configurations(end))

    def _check(self) -> None:
        """Check the current state of the programs against the rules."""
        now = self.loop.time()
        for name in self.proxies:
            proxy = self.nodes.get(name)
            self.monitor.proxies.check_readiness(now, name, proxy is not None and proxy.ready)
            if proxy is not None:
                self._check_proxy(now, name, proxy)
        if self.partitions or self.loss_share or self.operators.lost_share:
            self.monitor.context.record_link_disturbance(now)
        self.monitor.orders.check_pending(now)

    def _check_proxy(self, now: float, name: str, proxy: Proxy) -> None:
        for violation in proxy.invariants.violations:
            self.monitor.context.report(Rule.INVARIANT, now, f"{name}: {violation}")
        if self.monitor.proxies.retired_at:
            endpoints = proxy.endpoints.by_id.values()
            ready = {endpoint.id for endpoint in endpoints if endpoint.state == READY}
            self.monitor.proxies.check_ready_machines(now, name, ready)
        version = proxy.configuration.version
        self.monitor.proxies.check_version(now, name, self.incarnations[name], version)

    def _wait_for_pending_orders(self) -> None:
        deadline = self.loop.time() + self.bounds["contact_s"] + self.bounds["ack_s"] + SETTLING_S
        while self.monitor.orders.pending and self.loop.time() < deadline:
            self.run(self.loop.time() + PENDING_CHECK_INTERVAL_S, self._check)

    def _read_back(self) -> None:
        """Read the configuration a last time, from any controller that responds, and close the rules."""
        call = self.fleet.call(CallName.READ_CONFIGURATION, "", {}, READ_BACK_ATTEMPTS)
        reading = self.loop.create_task(call)
        self.run(self.loop.time() + READ_BACK_TIMEOUT_S, self._check)
        version = None
        if reading.done() and reading.result().status == HTTPStatus.OK:
            response = reading.result().response
            assert isinstance(response, bytes)
            version = int(json.loads(response)["ver"], 16)
        self.monitor.close(self.loop.time(), version)

    def _finish(self) -> Outcome:
        outcome, context = self.outcome, self.monitor.context
        for error in self.unexpected_errors:
            context.report(Rule.NO_UNEXPECTED_ERROR, self.loop.time(), repr(error))
        if outcome.worth < MIN_WORTH_SHARE * outcome.requests:
            details = f"{outcome.worth:.1f} of {outcome.requests}"
            context.report(Rule.AVAILABILITY, self.loop.time(), details)
        outcome.violations = context.violations
        outcome.resets = self.monitor.requests.resets
        outcome.retries = sum(len(times) for times in self.monitor.requests.retry_times.values())
        outcome.attempts = self.clients.attempts
        self.close()
        return outcome


def play(day: Day) -> Outcome:
    """Play a day and return its outcome."""
    return EmulatedDay(day).play()
