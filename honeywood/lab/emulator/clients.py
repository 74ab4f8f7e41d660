"""Clients: requests with deadlines and tries, and the platform that tells them which proxies are ready."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from math import inf

from honeywood.gateway.rpc.request_context import CONTEXT, RequestContext
from honeywood.lab.emulator.boot import AIM_S, DEADLINE_S
from honeywood.lab.emulator.network import OUTSIDE
from honeywood.lab.emulator.operators import LATER_ROUTES
from honeywood.lab.emulator.rules import PROMISES

LATE_WORTH = 0.3  # of a request that is served after its aim
TRIES, DEAF_TRIES = 3, 9  # of a client, and of one that doesn't heed what it is told
SHORTEST_TRY_S = 0.01  # with less time left a client gives up
SAFE_SHARE = 0.7  # of requests may be repeated
LATER_SHARE = 0.2  # of these are on routes that were added later
NO_ROUTE = 404
READINESS_S, MISSES = 1.0, 2  # seconds between the platform's looks; after so many bad ones nothing new comes
SILENCE, REFUSED, CUT, LEFT = "silence", "refused", "cut", "left"  # how a try ends without an answer


@dataclass(slots=True)
class Request:
    """What a client wants, from its first try on."""

    begun: float
    zone: str
    service: str
    safe: bool
    path: bytes
    stays_s: float = inf  # after which its client leaves


class Clients:
    """All clients of a day. `deaf` is the share that doesn't heed what it is told, `leaving` the share that
    leaves, `leaves_within_s` after it asked at the latest."""

    def __init__(self, world):
        """`world` is an EmulatedDay."""
        self.world, self.chance, self.now = world, world.chance, world.loop.time
        self.deaf, self.tries, self.ready = 0.0, 0, set(world.fronts)
        self.leaving, self.leaves_within_s = 0.0, AIM_S

    async def run(self, until):
        """Requests at the day's rate."""
        while self.now() < until:
            await asyncio.sleep(self.chance.expovariate(self.world.day.per_s))
            self.world.loop.create_task(self._request(self.chance.random() < SAFE_SHARE))

    async def _request(self, safe):
        begun, deaf = self.now(), self.chance.random() < self.deaf
        stays_s = self._stays_s()
        zone, path = self.chance.choice(self.world.zone_names), self._path(safe)
        request = Request(begun, zone, "s" if safe else "u", safe, path, stays_s)
        end, outcome = SILENCE, self.world.outcome
        outcome.owed += 1
        for _ in range(DEAF_TRIES if deaf else TRIES):
            left_s = begun + DEADLINE_S - self.now()
            if left_s <= SHORTEST_TRY_S:
                break
            end, pause_s = await self._try(request, left_s)
            if end == LEFT:
                outcome.owed -= 1  # it wanted no answer in the end
                return
            if end == "200" or not _may_be_tried_again(end, safe):
                break
            await asyncio.sleep(0.0 if deaf else min(pause_s, left_s / 3))
        worth = 0.0
        if end == "200":
            worth = 1.0 if self.now() - begun <= AIM_S else LATE_WORTH
        outcome.earned(int(begun), worth, end)

    def _stays_s(self):
        """For how long a client stays."""
        if not self.leaving or self.chance.random() >= self.leaving:
            return inf
        return self.chance.uniform(0.0, self.leaves_within_s)

    def _leave(self, proxy, process, id, context):
        """The client closes its connection, and the proxy hears of it."""
        self.world.monitor.requests.client_left(self.now(), id, proxy)

        async def hear():
            context.disconnect.notify(self.now())

        process.run(hear())

    def _path(self, safe):
        """A path on a route that all proxies in touch must know by now."""
        if not safe:
            return b"/w/x"
        due = self.world.monitor.orders.newest_acknowledged(self.now() - self.world.bounds["apply_s"])
        if due is None or self.chance.random() >= LATER_SHARE:
            return b"/r/x"
        return b"/t%d/x" % self.chance.randrange(min(due, LATER_ROUTES))

    def _proxy(self, zone):
        """A proxy that seems ready, in the client's zone where there is one."""
        fit = [name for name in self.world.fronts if name in self.ready]
        near = [name for name in fit if self.world.zones[name] == zone]
        return self.chance.choice(near or fit or self.world.fronts)

    async def _try(self, request, left_s):
        """(how it ended, seconds to wait): one try at a proxy, over a new connection."""
        self.tries += 1
        id = b"%016x" % self.tries
        proxy = self._proxy(request.zone)
        program, process = self.world.nodes.get(proxy), self.world.processes.get(proxy)
        if program is None:
            await asyncio.sleep(0.002)
            return REFUSED, 0.0
        if (OUTSIDE, proxy) in self.world.cuts:
            await asyncio.sleep(left_s)
            return SILENCE, 0.0
        self.world.monitor.requests.asked(self.now(), id, request.service, request.safe)
        scope = _scope(id, left_s, request.path)
        work = process.run(program.app.clients.handle(scope, _no_body))
        until_it_leaves_s = max(0.0, request.begun + request.stays_s - self.now())
        await asyncio.wait((work,), timeout=min(left_s, until_it_leaves_s))
        if work.cancelled():
            return CUT, 0.0
        if not work.done():
            self._leave(proxy, process, id, scope[CONTEXT])
            return LEFT if until_it_leaves_s < left_s else SILENCE, 0.0
        answer = work.result()
        if answer.status == NO_ROUTE:
            self.world.monitor.proxies.knows_no_route(self.now(), proxy, request.path)
        self.world.monitor.requests.answered(self.now(), id, answer.status, answer.body)
        return str(answer.status), float(dict(answer.headers).get(b"retry-after", b"0.02"))

    async def watch_readiness(self):
        """The platform looks at readiness every second; two misses and a proxy gets nothing new."""
        missed = Counter()
        while True:
            for name in self.world.fronts:
                missed[name] = 0 if self._is_ready(name) else missed[name] + 1
                self.ready.discard(name) if missed[name] >= MISSES else self.ready.add(name)
            await asyncio.sleep(READINESS_S)

    def _is_ready(self, name):
        program = self.world.nodes.get(name)
        reached = program is not None and program.ready and (OUTSIDE, name) not in self.world.cuts
        return reached and self.world.processes[name].pace == 1.0


def _may_be_tried_again(end, safe):
    """Whether a client tries again after how a try ended: what can't be repeated only after a promise."""
    promise = end in [str(status) for status in PROMISES] or end == REFUSED
    return end != "404" and (safe or promise)


def _scope(id, left_s, path):
    """A request as the proxy's server hands it on."""
    headers = [(b"host", b"h"), (b"x-try-id", id), (b"x-deadline-ms", b"%d" % (left_s * 1000))]
    return {"headers": headers, "raw_path": path, "method": "GET", CONTEXT: RequestContext(path)}


async def _no_body():
    return {"type": "http.request", "body": b"", "more_body": False}
