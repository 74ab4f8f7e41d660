"""Operators: they send orders until these are answered, and read from random controllers all day."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from honeywood.gateway.controller.call import CallName
from honeywood.gateway.rollout.record import RolloutState
from honeywood.lab.emulator.boot import DEADLINE_S, LATENCY_TARGET_S
from honeywood.lab.emulator.machine import Machine, MachineEnd
from honeywood.lab.emulator.network import NO_RESPONSE
from honeywood.lab.emulator.rules.orders import ConfigurationOrder, Order, RolloutOrder

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

MAX_ADDED_ROUTES = 20
"""The number of routes that versions add one by one; a version has all routes of the lower ones."""
MEAN_READ_INTERVAL_S = 0.3
CONFIGURATION_TIMEOUT_S = 60.0
"""The time after which an operator stops sending an unanswered configuration."""
MAX_RETRY_DELAY_S, RETRY_STEP_S = 0.5, 0.05
ROLLOUT_POLL_INTERVAL_S = 0.25
ACKNOWLEDGEMENT_SLACK_S = 0.1


@dataclass(frozen=True, slots=True)
class VersionFaults:
    """The faults of the machines of a version: shares of responses that fail or are slow."""

    failing_share: float = 0.0
    slow_share: float = 0.0


GOOD_VERSION = VersionFaults()


class Operators:
    """The actions of all operators in a day.

    `lost_share` is the share of responses to orders that are lost. `service_versions` are the versions of
    configurations that add a new service.
    """

    def __init__(self, world: EmulatedDay, random: random.Random) -> None:
        """Create the operators of a world; `random` draws controllers, delays and lost responses."""
        self.lost_share = 0.0
        self.service_versions: list[int] = []
        self._world = world
        self._random = random
        self._rules = world.monitor.orders
        self._now = world.loop.time
        self._highest_version = 1

    def _any_controller(self) -> str:
        return self._random.choice(self._world.controllers)

    def configuration(self, version: int, mark: str = "") -> dict[str, object]:
        """Return the configuration of a version.

        It has a route of each kind, an additional route for each version up to MAX_ADDED_ROUTES, and the
        services that this version and earlier ones added. `mark` distinguishes several contents of one
        version.
        """
        routes = [("r", "s", "safe"), ("w", "u", "unsafe")]
        routes += [(f"t{number}", "s", "safe") for number in range(min(version, MAX_ADDED_ROUTES))]
        brought = [number for number in self.service_versions if number <= version]
        routes += [(f"n{number}{mark}", f"n{number}", "safe") for number in brought]
        routes += [(f"m{mark}", "s", "safe")] if mark else []
        resources = [_route(name, service, kind) for name, service, kind in routes]
        resources += [_service(name) for name in sorted({service for _, service, _ in routes})]
        return {"ver": f"{version:08x}", "res": resources}

    def next_version(self, step: int = 1) -> int:
        """Return a version number higher than all that were used before."""
        self._highest_version += step
        return self._highest_version

    async def order(self, order: Order, call: str, body: object, timeout_s: float, copies: int = 1) -> bool:
        """Send `copies` of an order, each until it is answered; return whether one was acknowledged."""
        began_at = self._now()
        self._rules.on_sent(began_at, order)
        sent = [self._send(order, call, body, began_at + timeout_s) for _ in range(copies)]
        acknowledged = any(await asyncio.gather(*sent))
        if not acknowledged:
            due_at = began_at + self._world.bounds["ack_s"] + ACKNOWLEDGEMENT_SLACK_S
            await asyncio.sleep(max(0.0, due_at - self._now()))
            self._rules.on_abandoned(order)
        return acknowledged

    async def _send(self, order: Order, call: str, body: object, deadline: float) -> bool:
        attempts = 0
        while self._now() < deadline:
            status = (await self._world.ask(self._any_controller(), call, "", body)).status
            if status != NO_RESPONSE and self._random.random() < self.lost_share:
                status = NO_RESPONSE
            if status == HTTPStatus.OK:
                self._rules.on_acknowledged(self._now(), order)
                return True
            if _is_rejection(status):
                self._rules.on_rejected(self._now(), order, status)
                return False
            attempts += 1
            delay_s = min(MAX_RETRY_DELAY_S, RETRY_STEP_S * attempts)
            await asyncio.sleep(delay_s * (0.5 + self._random.random()))
        return False

    async def send_once(self, order: Order, call: str, body: object, controller: str) -> None:
        """Send an order to one controller, without retries."""
        self._rules.on_sent(self._now(), order)
        status = (await self._world.ask(controller, call, "", body)).status
        if status == HTTPStatus.OK:
            self._rules.on_acknowledged(self._now(), order)
        elif _is_rejection(status):
            self._rules.on_rejected(self._now(), order, status)
        else:
            self._rules.on_abandoned(order)

    async def configure(
        self,
        version: int,
        mark: str = "",
        copies: int = 1,
        timeout_s: float = CONFIGURATION_TIMEOUT_S,
    ) -> bool:
        """Send the configuration of a version; return whether it was acknowledged."""
        body = self.configuration(version, mark)
        order = ConfigurationOrder.of(version, body)
        return await self.order(order, CallName.REPLACE_CONFIGURATION, body, timeout_s, copies)

    async def start_rollout(
        self,
        service: str,
        version: str,
        duration_s: float,
        copies: int = 1,
        timeout_s: float | None = None,
    ) -> bool:
        """Send the order of a rollout; return whether it was acknowledged."""
        body = {"svc": service, "to_ver": version, "over_s": duration_s}
        if timeout_s is None:
            timeout_s = self._world.bounds["ack_s"] - 1.0
        order = RolloutOrder(service, version)
        return await self.order(order, CallName.START_ROLLOUT, body, timeout_s, copies)

    async def change_configurations(self, end: float) -> None:
        """Send configurations at random intervals until `end`, skipping some version numbers."""
        day = self._world.day
        interval_s = (day.traffic_s - 1.0) / day.configuration_changes
        for _ in range(day.configuration_changes):
            await asyncio.sleep(interval_s * (0.5 + self._random.random()))
            if self._now() > end:
                return
            await self.configure(self.next_version(self._random.randrange(1, 4)))

    async def read_continuously(self) -> None:
        """Read the configuration and rollouts from random controllers all day."""
        create_task = self._world.loop.create_task
        while True:
            await asyncio.sleep(MEAN_READ_INTERVAL_S * 2 * self._random.random())
            create_task(self._read_configuration(self._any_controller()))
            service = self._random.choice(sorted(self._rules.services() | {"s"}))
            create_task(self._read_rollout(self._any_controller(), service))

    async def _read_configuration(self, controller: str) -> None:
        highest_before = self._rules.highest_seen
        result = await self._world.ask(controller, CallName.READ_CONFIGURATION)
        if result.status == HTTPStatus.OK:
            assert isinstance(result.response, bytes)
            content = result.response.decode()
            number = int(json.loads(content)["ver"], 16)
            self._rules.on_read(self._now(), highest_before, number, content, controller)
        elif result.status == HTTPStatus.NOT_FOUND:
            self._rules.on_read(self._now(), highest_before, None, None, controller)

    async def _read_rollout(self, controller: str, service: str) -> RolloutReading | None:
        """Return a rollout as reported by one controller; None if it reports none or does not respond."""
        known_before = self._rules.known_rollout_states(service)
        result = await self._world.ask(controller, CallName.READ_ROLLOUT, service)
        if result.status == HTTPStatus.NOT_FOUND:
            self._rules.on_no_rollout_read(self._now(), known_before, service, controller)
        if result.status != HTTPStatus.OK:
            return None
        assert isinstance(result.response, dict)
        reading = RolloutReading(result.response["to_ver"], result.response["state"])
        order = RolloutOrder(service, reading.version)
        self._rules.on_rollout_read(self._now(), known_before, order, reading.state, controller)
        return reading

    async def roll_out(
        self, service: str, version: str, duration_s: float, faults: VersionFaults, copies: int = 1
    ) -> None:
        """Roll out a version: start its machines, order the rollout, and end the machines that lose."""
        old = self._world.machines.running(service)
        new = [self._start_machine(service, version, faults) for _ in old]
        is_bad = faults != GOOD_VERSION
        self._world.monitor.trials.on_ordered(self._now(), service, version, is_bad)
        await self.start_rollout(service, version, duration_s, copies)
        state = await self._wait_for_outcome(service, version)
        if state == RolloutState.DONE:
            for machine in old:
                machine.stop(MachineEnd.LEFT)
        elif state == RolloutState.REVERTED:
            for machine in new:
                self._world.loop.create_task(self._world.fleet.drain(machine))

    def _start_machine(self, service: str, version: str, faults: VersionFaults) -> Machine:
        return self._world.fleet.start(
            service, version=version, failing_share=faults.failing_share, slow_share=faults.slow_share
        )

    async def _wait_for_outcome(self, service: str, version: str) -> str:
        state: str = RolloutState.ACTIVE
        while state == RolloutState.ACTIVE:
            await asyncio.sleep(ROLLOUT_POLL_INTERVAL_S)
            reading = await self._read_rollout(self._any_controller(), service)
            if reading is not None and reading.version == version:
                state = reading.state
        return state


@dataclass(frozen=True, slots=True)
class RolloutReading:
    """The version and state of a rollout that was read."""

    version: str
    state: str


def _is_rejection(status: int) -> bool:
    return HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR


def _route(name: str, service: str, kind: str) -> dict[str, object]:
    spec = {
        "vhost": "h",
        "pfx": f"/{name}/",
        "kind": kind,
        "timeout_s": DEADLINE_S,
        "target_s": LATENCY_TARGET_S,
        "prio": 0,
        "svc": service,
        "tries": 2,
    }
    return {"type": "routes", "hdr": {"name": name}, "spec": spec}


def _service(name: str) -> dict[str, object]:
    spec = {"hc_path": "/h", "max_conns": 40, "proto": "h1", "tls": False}
    return {"type": "svcs", "hdr": {"name": name}, "spec": spec}
