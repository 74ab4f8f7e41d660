"""Clients: requests with deadlines and retries, and the load balancer's view of which proxies are ready."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from math import inf
from typing import TYPE_CHECKING

from honeywood.gateway.rpc.request_context import CONTEXT, RequestContext
from honeywood.lab.emulator.boot import DEADLINE_S, LATENCY_TARGET_S
from honeywood.lab.emulator.network import OUTSIDE
from honeywood.lab.emulator.operators import MAX_ADDED_ROUTES
from honeywood.lab.emulator.process import FULL_SPEED, Process
from honeywood.lab.emulator.rules.request_rules import NOT_EXECUTED_STATUSES

if TYPE_CHECKING:
    from typing import Any

    from honeywood.gateway.proxy.client_response import ClientResponse
    from honeywood.lab.emulator.emulated_day import EmulatedDay

LATE_WORTH = 0.3
"""The worth of a request that is served after its latency target."""
MAX_ATTEMPTS, MAX_NON_COMPLIANT_ATTEMPTS = 3, 9
MIN_ATTEMPT_S = 0.01
"""A client gives up if less time is left."""
IDEMPOTENT_SHARE = 0.7
ADDED_ROUTE_SHARE = 0.2
"""The share of idempotent requests that use routes that were added later."""
READINESS_INTERVAL_S = 1.0
UNREADY_THRESHOLD = 2
"""The number of consecutive failed readiness checks after which a proxy gets no new requests."""
REFUSED_DELAY_S = 0.002
DEFAULT_RETRY_AFTER = b"0.02"


class NoResponse(Enum):
    """Why an attempt ended without a response; the values are shown in reports."""

    TIMEOUT = "silence"
    REFUSED = "refused"
    BROKEN = "cut"
    DISCONNECTED = "left"
    """The client disconnected."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The status of an attempt's response, or why there was none, and the delay before a retry."""

    end: int | NoResponse
    retry_after_s: float = 0.0

    @property
    def name(self) -> str:
        """The name under which results are counted."""
        return self.end.value if isinstance(self.end, NoResponse) else str(self.end)

    def may_be_retried(self, idempotent: bool) -> bool:
        """Return whether a client retries: a request that is not idempotent only if it was not executed."""
        if self.end in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            return False
        return idempotent or self.end is NoResponse.REFUSED or self.end in NOT_EXECUTED_STATUSES


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request; the client disconnects `disconnect_after_s` seconds after it began."""

    began_at: float
    zone: str
    service: str
    idempotent: bool
    path: bytes
    disconnect_after_s: float


class Clients:
    """All clients of a day.

    `non_compliant_share` is the share of clients that ignore Retry-After and retry limits.
    `disconnecting_share` is the share of clients that disconnect, at most `max_disconnect_after_s` seconds
    after they began.
    """

    def __init__(self, world: EmulatedDay) -> None:
        """Create the clients of a world; none disconnects or ignores retry limits at first."""
        self.non_compliant_share = 0.0
        self.disconnecting_share = 0.0
        self.max_disconnect_after_s = LATENCY_TARGET_S
        self.attempts = 0
        self._world = world
        self._random = world.traffic_rng
        self._now = world.loop.time
        self._ready = set(world.proxies)

    async def run(self, end: float) -> None:
        """Start requests at random intervals, at the mean rate of the day, until `end`."""
        while self._now() < end:
            await asyncio.sleep(self._random.expovariate(self._world.day.requests_per_s))
            idempotent = self._random.random() < IDEMPOTENT_SHARE
            self._world.loop.create_task(self._run_request(idempotent))

    async def _run_request(self, idempotent: bool) -> None:
        compliant = self._random.random() >= self.non_compliant_share
        request = self._draw_request(idempotent)
        outcome = self._world.outcome
        outcome.requests += 1
        result = await self._attempt_until_done(request, compliant)
        if result.end is NoResponse.DISCONNECTED:
            outcome.requests -= 1  # the client no longer needs a response
            return
        outcome.record(int(request.began_at), self._worth(request, result), result.name)

    def _draw_request(self, idempotent: bool) -> ClientRequest:
        began_at, disconnect_after_s = self._now(), self._draw_disconnect_after_s()
        zone, path = self._random.choice(self._world.zone_names), self._draw_path(idempotent)
        return ClientRequest(began_at, zone, "s" if idempotent else "u", idempotent, path, disconnect_after_s)

    def _worth(self, request: ClientRequest, result: AttemptResult) -> float:
        if result.end != HTTPStatus.OK:
            return 0.0
        return 1.0 if self._now() - request.began_at <= LATENCY_TARGET_S else LATE_WORTH

    async def _attempt_until_done(self, request: ClientRequest, compliant: bool) -> AttemptResult:
        result = AttemptResult(NoResponse.TIMEOUT)
        for _ in range(MAX_ATTEMPTS if compliant else MAX_NON_COMPLIANT_ATTEMPTS):
            remaining_s = request.began_at + DEADLINE_S - self._now()
            if remaining_s <= MIN_ATTEMPT_S:
                break
            result = await self._attempt(request, remaining_s)
            if result.end is NoResponse.DISCONNECTED or not result.may_be_retried(request.idempotent):
                break
            await asyncio.sleep(min(result.retry_after_s, remaining_s / 3) if compliant else 0.0)
        return result

    def _draw_disconnect_after_s(self) -> float:
        """Return the seconds after which a client disconnects; infinity if it does not."""
        if not self.disconnecting_share or self._random.random() >= self.disconnecting_share:
            return inf
        return self._random.uniform(0.0, self.max_disconnect_after_s)

    def _draw_path(self, idempotent: bool) -> bytes:
        """Return a path on a route that all proxies in contact must already know."""
        if not idempotent:
            return b"/w/x"
        apply_s = self._world.bounds["apply_s"]
        due = self._world.monitor.orders.newest_acknowledged(self._now() - apply_s)
        if due is None or self._random.random() >= ADDED_ROUTE_SHARE:
            return b"/r/x"
        return b"/t%d/x" % self._random.randrange(min(due, MAX_ADDED_ROUTES))

    def _choose_proxy(self, zone: str) -> str:
        """Return a proxy that passes its readiness checks, if possible one in the client's zone."""
        ready = [name for name in self._world.proxies if name in self._ready]
        near = [name for name in ready if self._world.zones[name] == zone]
        return self._random.choice(near or ready or self._world.proxies)

    async def _attempt(self, request: ClientRequest, remaining_s: float) -> AttemptResult:
        """Make one attempt at a proxy over a new connection."""
        self.attempts += 1
        attempt_id = b"%016x" % self.attempts
        proxy = self._choose_proxy(request.zone)
        program, process = self._world.nodes.get(proxy), self._world.processes.get(proxy)
        if program is None or process is None:
            await asyncio.sleep(REFUSED_DELAY_S)
            return AttemptResult(NoResponse.REFUSED)
        if (OUTSIDE, proxy) in self._world.partitions:
            await asyncio.sleep(remaining_s)
            return AttemptResult(NoResponse.TIMEOUT)
        rules = self._world.monitor.requests
        rules.on_sent(self._now(), attempt_id, request.service, request.idempotent)
        context = RequestContext(request.path)
        scope = _scope(attempt_id, remaining_s, context)
        handling = process.run(program.app.clients.handle(scope, _empty_body))
        until_disconnect_s = max(0.0, request.began_at + request.disconnect_after_s - self._now())
        await asyncio.wait((handling,), timeout=min(remaining_s, until_disconnect_s))
        if handling.cancelled():
            return AttemptResult(NoResponse.BROKEN)
        if not handling.done():
            self._disconnect(proxy, process, attempt_id, context)
            disconnected = until_disconnect_s < remaining_s
            return AttemptResult(NoResponse.DISCONNECTED if disconnected else NoResponse.TIMEOUT)
        return self._on_response(proxy, attempt_id, request, handling.result())

    def _on_response(
        self, proxy: str, attempt_id: bytes, request: ClientRequest, response: ClientResponse
    ) -> AttemptResult:
        monitor, now = self._world.monitor, self._now()
        if response.status == HTTPStatus.NOT_FOUND:
            monitor.proxies.on_missing_route(now, proxy, request.path)
        monitor.requests.on_response(now, attempt_id, response.status, response.body)
        retry_after = dict(response.headers).get(b"retry-after", DEFAULT_RETRY_AFTER)
        return AttemptResult(response.status, float(retry_after))

    def _disconnect(self, proxy: str, process: Process, attempt_id: bytes, context: RequestContext) -> None:
        """Close the client's connection and notify the proxy of it."""
        self._world.monitor.requests.on_disconnect(self._now(), attempt_id, proxy)

        async def notify() -> None:
            context.disconnect.notify(self._now())

        process.run(notify())

    async def watch_readiness(self) -> None:
        """Check the readiness of proxies periodically, as a load balancer does."""
        failures: Counter[str] = Counter()
        while True:
            for name in self._world.proxies:
                failures[name] = 0 if self._is_ready(name) else failures[name] + 1
                if failures[name] >= UNREADY_THRESHOLD:
                    self._ready.discard(name)
                else:
                    self._ready.add(name)
            await asyncio.sleep(READINESS_INTERVAL_S)

    def _is_ready(self, name: str) -> bool:
        program = self._world.nodes.get(name)
        if program is None or not program.ready or (OUTSIDE, name) in self._world.partitions:
            return False
        return self._world.processes[name].slowdown == FULL_SPEED


def _scope(attempt_id: bytes, remaining_s: float, context: RequestContext) -> dict[str, Any]:
    """Return a request as an ASGI scope, as the proxy's server passes it to the application."""
    deadline_ms = b"%d" % (remaining_s * 1000)
    headers = [(b"host", b"h"), (b"x-try-id", attempt_id), (b"x-deadline-ms", deadline_ms)]
    return {"headers": headers, "raw_path": context.target, "method": "GET", CONTEXT: context}


async def _empty_body() -> dict[str, Any]:
    return {"type": "http.request", "body": b"", "more_body": False}
