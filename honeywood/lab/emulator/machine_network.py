"""The service machines of a world, and how they process requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextvars import Context
from http import HTTPStatus
from typing import TYPE_CHECKING

import httpcore

from honeywood.gateway.rpc.reply import Reply
from honeywood.lab.emulator.machine import WARM_UP_S, Machine, MachineEnd
from honeywood.lab.emulator.machine_connection import MachineConnection
from honeywood.lab.emulator.rules.request_rules import RequestRules
from honeywood.lab.emulator.world import DEFAULT_ZONE

if TYPE_CHECKING:
    from honeywood.lab.emulator.world import World

WARM_UP_FACTOR = 2.0
SLOW_RESPONSE_FACTOR = 8.0
WORK_MU, WORK_SIGMA = -0.08, 0.4
"""Parameters of the lognormal distribution by which the mean time of a request is multiplied."""
NEVER_S = 3600.0
"""Longer than any day: a sleep of this length never ends in it."""
OTHER_ZONE_FACTOR = 3
LATENCY_SPREAD = 0.2
TRY_ID = b"x-try-id"
STRAY_ID = b"other"
SEAL = {b"x-seal": b"s"}
NOT_RUN = {b"x-not-run": b"1"}


class MachineNetwork:
    """All machines of a world, by IP address."""

    def __init__(
        self, world: World, random: random.Random, rules: RequestRules, work_s: Callable[[str], float]
    ) -> None:
        """Create a network without machines.

        `rules` are notified of requests that machines receive and execute. `work_s(service)` returns the mean
        execution time of a request in seconds.
        """
        self._world = world
        self._random = random
        self._rules = rules
        self._work_s = work_s
        self._machines: dict[str, Machine] = {}
        self._last_number = 0

    def start(
        self,
        service: str,
        zone: str,
        *,
        version: str = "v1",
        work_factor: float = 1.0,
        failing_share: float = 0.0,
        slow_share: float = 0.0,
    ) -> Machine:
        """Start a machine now and return it."""
        self._last_number += 1
        number = self._last_number
        ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        machine = Machine(
            f"i-{number}",
            service,
            f"{ip}:1",
            zone,
            version=version,
            work_factor=work_factor,
            started_at=self._world.loop.time(),
            failing_share=failing_share,
            slow_share=slow_share,
        )
        self._machines[ip] = machine
        return machine

    def running(self, service: str | None = None) -> list[Machine]:
        """Return the running machines of one service, or of all services if it is None."""
        return [
            machine
            for machine in self._machines.values()
            if machine.end is None and (service is None or machine.service == service)
        ]

    def _latency_s(self, proxy: str, machine: Machine) -> float:
        """Draw the one-way latency between a proxy and a machine."""
        is_same_zone = self._world.zones.get(proxy, DEFAULT_ZONE) == machine.zone
        zone_factor = 1 if is_same_zone else OTHER_ZONE_FACTOR
        return self._world.latency_s * zone_factor * (1 + LATENCY_SPREAD * self._random.random())

    def _is_partitioned(self, proxy: str, machine: Machine) -> bool:
        return (proxy, machine.address) in self._world.partitions

    async def connect(
        self, proxy: str, ip: str, timeout_s: float, on_count_change: Callable[[int], None]
    ) -> MachineConnection:
        """Open a connection from a proxy to a machine.

        Raises:
            httpcore.ConnectError: The address refuses connections, or the machine has too many of them.
            httpcore.ConnectTimeout: The machine is silent or unreachable.
        """
        machine = self._machines.get(ip)
        latency_s = self._latency_s(proxy, machine) * 2 if machine else self._world.latency_s
        await asyncio.sleep(latency_s)
        if machine is None or machine.end in (MachineEnd.REFUSES, MachineEnd.LEFT):
            raise httpcore.ConnectError("refused")
        if machine.end is not None or self._is_partitioned(proxy, machine):
            await asyncio.sleep(timeout_s)
            raise httpcore.ConnectTimeout("silence")
        if len(machine.connections) >= machine.max_connections:
            self._rules.on_reset()
            raise httpcore.ConnectError("reset")
        return MachineConnection(self, proxy, machine, on_count_change)

    async def serve(self, connection: MachineConnection, fields: dict[bytes, bytes]) -> Reply | None:
        """Serve a request and return the reply; None if the connection breaks without one."""
        machine, loop = connection.machine, asyncio.get_running_loop()
        await asyncio.sleep(self._latency_s(connection.proxy, machine))
        if machine.end is not None or self._is_partitioned(connection.proxy, machine):
            await asyncio.sleep(NEVER_S)
        request_id = fields[TRY_ID]
        deadline = loop.time() + int(fields[b"x-deadline-ms"]) / 1000
        if fields[b"x-want-instance"] != machine.id.encode():
            misdirected = {TRY_ID: request_id, b"x-instance": machine.id.encode()}
            return await self._reply(connection, HTTPStatus.MISDIRECTED_REQUEST, misdirected)
        self._rules.on_arrival(loop.time(), request_id, machine, connection.proxy)
        not_run = {**NOT_RUN, TRY_ID: request_id}
        if not await machine.acquire_slot():
            return await self._reply(connection, HTTPStatus.SERVICE_UNAVAILABLE, not_run)
        try:
            if loop.time() > deadline or not connection.reusable:
                return await self._reply(connection, HTTPStatus.SERVICE_UNAVAILABLE, not_run)
            fails = await self._execute(connection, request_id, deadline)
        finally:
            machine.release_slot()
            self._rules.on_execution_end(loop.time(), request_id)
        return await self._respond(connection, request_id, deadline, fails)

    async def _execute(self, connection: MachineConnection, request_id: bytes, deadline: float) -> bool:
        """Execute a request, at most until its deadline; return whether it fails."""
        machine, loop = connection.machine, asyncio.get_running_loop()
        fails = self._random.random() < machine.failing_share
        self._rules.on_execution(loop.time(), request_id, machine, connection.proxy, fails)
        is_warming_up = loop.time() < machine.started_at + WARM_UP_S
        warm_up_factor = WARM_UP_FACTOR if is_warming_up else 1.0
        slow_factor = SLOW_RESPONSE_FACTOR if self._random.random() < machine.slow_share else 1.0
        work_s = self._work_s(machine.service) * self._random.lognormvariate(WORK_MU, WORK_SIGMA)
        work_s = work_s * machine.work_factor * warm_up_factor * slow_factor
        await asyncio.sleep(min(work_s, max(0.0, deadline - loop.time())))
        return fails

    async def _respond(
        self, connection: MachineConnection, request_id: bytes, deadline: float, fails: bool
    ) -> Reply | None:
        """Return the response to an executed request, subject to the faults of the machine."""
        machine, loop = connection.machine, asyncio.get_running_loop()
        if machine.end is not None:
            await asyncio.sleep(NEVER_S)
        if self._random.random() < machine.lost_share:
            return None
        own_fields = {TRY_ID: request_id, **SEAL}
        if self._random.random() < machine.stray_share:
            if _sends_own_response_after_stray(machine):
                own = self._reply(connection, HTTPStatus.OK, own_fields, request_id)
                connection.response_after_stray = loop.create_task(own, context=Context())
            return await self._reply(connection, HTTPStatus.OK, {TRY_ID: STRAY_ID, **SEAL}, STRAY_ID)
        status = HTTPStatus.INTERNAL_SERVER_ERROR if fails else HTTPStatus.OK
        if loop.time() >= deadline:
            status = HTTPStatus.GATEWAY_TIMEOUT
        return await self._reply(connection, status, own_fields, request_id)

    async def cancel_serving(self, connection: MachineConnection) -> None:
        """Cancel the machine's work on a closed connection, after the latency with which it notices that."""
        await asyncio.sleep(self._latency_s(connection.proxy, connection.machine))
        if connection.serving is not None and not self._is_partitioned(connection.proxy, connection.machine):
            connection.serving.cancel()

    async def _reply(
        self,
        connection: MachineConnection,
        status: HTTPStatus,
        fields: dict[bytes, bytes],
        body: bytes = b"",
    ) -> Reply | None:
        machine = connection.machine
        await asyncio.sleep(self._latency_s(connection.proxy, machine))
        if self._is_partitioned(connection.proxy, machine):
            await asyncio.sleep(NEVER_S)
        load = b"%d,%d,%d" % (machine.running, len(machine.queue), machine.slots)
        all_fields = {**fields, b"x-load": load}
        return Reply(int(status), list(all_fields.items()), body, None, all_fields)


def _sends_own_response_after_stray(machine: Machine) -> bool:
    """Return whether the machine sends the right response after a stray one, as every second machine does."""
    return int(machine.id.removeprefix("i-")) % 2 == 1
