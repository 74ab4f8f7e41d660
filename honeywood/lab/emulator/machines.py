"""Service machines of a world, and fronts' connections to them: slots, queues, speeds, cold times, lies."""

import asyncio
from contextvars import Context
from dataclasses import dataclass, field, replace

import httpcore

from honeywood.gateway.rpc.reply import ExchangeFailure, Reply

REFUSES, DARK, LEFT = "refuses", "dark", "left"  # how a machine that has ended is met
COLD_S, COLD_PACE = 3.0, 2.0  # seconds after its start in which a machine is so many times slower
SLOW_PACE = 8.0  # times that a slow answer takes longer
FOREVER_S = 3600.0  # longer than any day
SERVES_ON_S = 0.5  # seconds that a machine serves on after drain_s
HEARTBEAT_S = 1.5  # seconds between two of its heartbeats
QUEUE = 8  # requests that wait at a machine at most


@dataclass(eq=False)
class Machine:
    """One life. `pace` multiplies its work, `bad` is the share of its answers that fail, `slow` the share
    that take eight times as long, `spoils` the share whose answer belongs to nobody, `cuts` the share whose
    answer is lost after the run."""

    id: str
    svc: str
    address: str
    zone: str
    ver: str = "v1"
    slots: int = 4
    pace: float = 1.0
    most: int = 40
    born: float = 0.0
    state: str = "ready"
    gone: str = ""
    bad: float = 0.0
    slow: float = 0.0
    spoils: float = 0.0
    cuts: float = 0.0
    running: int = 0
    seq: int = 0
    waiting: list = field(default_factory=list)
    links: dict = field(default_factory=dict)  # a dict keeps their order, and a day replays

    def heartbeat(self, now):
        """The body of its next heartbeat."""
        self.seq += 1
        return {
            "svc": self.svc,
            "addr": self.address,
            "zone": self.zone,
            "ver": self.ver,
            "slots": self.slots,
            "state": self.state,
            "cold_left_s": max(0.0, self.born + COLD_S - now),
            "seq": self.seq,
        }

    def crash(self, how):
        """Ends; what runs is lost. A dark one's connections hang."""
        self.gone = how
        if how != DARK:
            for link in list(self.links):
                link.close()

    async def slot(self):
        """Waits for a slot; False where the queue is full."""
        if self.running >= self.slots:
            if len(self.waiting) >= QUEUE:
                return False
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if not turn.cancelled():  # its turn had come: the next one has it
                    self._next()
                raise
        self.running += 1
        return True

    def free(self):
        """A request has left its slot; the next one that waits has it."""
        self.running -= 1
        self._next()

    def _next(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return


class Connection:
    """A front's connection to a machine, with what rpc.connection.Connection offers."""

    def __init__(self, machines, front, machine, up):
        """`up` is told of each connection that begins (1) or ends (-1)."""
        self.machines, self.front, self.machine, self.up = machines, front, machine, up
        self.reusable, self.idle_since, self.keep_alive_s, self.broke = True, 0.0, None, None
        self.own = None  # a future of the answer behind a surplus one
        self.work = None  # the task of the machine that serves the request on it
        machine.links[self] = None
        up(1)

    @property
    def ended(self):
        """Whether it has ended."""
        return self not in self.machine.links

    def close(self):
        """Ends the connection; what is under way on it breaks off."""
        if self.reusable or self in self.machine.links:
            self.reusable = False
            self.machine.links.pop(self, None)
            self.up(-1)
            if self.broke is not None and not self.broke.done():
                self.broke.set_result(None)
            if self.work is not None and not self.machine.gone:
                asyncio.get_running_loop().create_task(self.machines.drop(self), context=Context())

    async def exchange(self, method, target, headers, body, deadline, expected_header=None):
        """Reply or ExchangeFailure, as over a real connection."""
        loop = asyncio.get_running_loop()
        if not self.reusable:
            return ExchangeFailure("the connection had ended", False)
        self.broke = loop.create_future()
        work = loop.create_task(self.machines.serve(self, dict(headers), target), context=Context())
        self.work = work
        return await self._outcome(work, deadline, expected_header)

    async def read_on(self, deadline):
        """What follows a surplus answer: of every second machine the request's own, of others nothing."""
        loop = asyncio.get_running_loop()
        if self.own is None:
            self.own = loop.create_future()
        return await self._outcome(self.own, deadline, None)

    async def _outcome(self, work, deadline, expected):
        loop = asyncio.get_running_loop()
        left = max(0.0, deadline - loop.time())
        await asyncio.wait((work, self.broke), timeout=left, return_when="FIRST_COMPLETED")
        if work.done() and not work.cancelled() and work.result() is not None:
            self.idle_since, reply = loop.time(), work.result()
            if expected is not None and reply.fields.get(expected[0], expected[1]) != expected[1]:
                reply, self.reusable = replace(reply, surplus=True), False
            return reply
        late = not work.done() and not self.broke.done()
        self.close()
        return ExchangeFailure("time is up" if late else "reset", True, late)


class Machines:
    """All machines of a world, by address."""

    def __init__(self, world, random, requests, work_of):
        """`requests` are the rules that are told what runs; `work_of(svc)` gives seconds of work."""
        self.world, self.random, self.requests, self.work_of = world, random, requests, work_of
        self.at, self.born = {}, 0

    def open(self, svc, zone, **more):
        """A machine that starts now."""
        self.born += 1
        ip = f"10.{self.born >> 16 & 255}.{self.born >> 8 & 255}.{self.born & 255}"
        machine = Machine(f"i-{self.born}", svc, f"{ip}:1", zone, born=self.world.loop.time(), **more)
        self.at[ip] = machine
        return machine

    def alive(self, svc=None):
        """Machines that have not ended, of one service or of all."""
        return [
            machine
            for machine in self.at.values()
            if not machine.gone and (svc is None or machine.svc == svc)
        ]

    def delay(self, front, machine):
        """Seconds of one way between a proxy and a machine."""
        same = self.world.zones.get(front, "z") == machine.zone
        return self.world.delay * (1 if same else 3) * (1 + 0.2 * self.random.random())

    def cut(self, front, machine):
        """Whether a proxy can't reach a machine."""
        return (front, machine.address) in self.world.cuts

    async def connect(self, front, ip, port, within, up):
        """What ConnectionPool.open calls: a Connection, or httpcore's ConnectError or ConnectTimeout."""
        machine = self.at.get(ip)
        await asyncio.sleep(self.delay(front, machine) * 2 if machine else self.world.delay)
        if machine is None or machine.gone in (REFUSES, LEFT):
            raise httpcore.ConnectError("refused")
        if machine.gone or self.cut(front, machine):
            await asyncio.sleep(within)
            raise httpcore.ConnectTimeout("silence")
        if len(machine.links) >= machine.most:
            self.requests.reset()
            raise httpcore.ConnectError("reset")
        return Connection(self, front, machine, up)

    async def serve(self, link, fields, target):
        """The machine's side of an exchange: a Reply, or None where the connection breaks."""
        machine, loop = link.machine, asyncio.get_running_loop()
        await asyncio.sleep(self.delay(link.front, machine))
        if machine.gone or self.cut(link.front, machine):
            await asyncio.sleep(FOREVER_S)
        id, left = fields[b"x-try-id"], int(fields[b"x-deadline-ms"]) / 1000
        until = loop.time() + left
        if fields[b"x-want-instance"] != machine.id.encode():
            return await self._reply(link, 421, {b"x-try-id": id, b"x-instance": machine.id.encode()})
        self.requests.arrived(loop.time(), id, machine, link.front)
        if not await machine.slot():
            return await self._reply(link, 503, {b"x-not-run": b"1", b"x-try-id": id})
        try:
            if loop.time() > until or not link.reusable:
                return await self._reply(link, 503, {b"x-not-run": b"1", b"x-try-id": id})
            failed = self.random.random() < machine.bad
            self.requests.ran(loop.time(), id, machine, link.front, failed)
            cold = COLD_PACE if loop.time() < machine.born + COLD_S else 1.0
            much = SLOW_PACE if self.random.random() < machine.slow else 1.0
            work = self.work_of(machine.svc) * self.random.lognormvariate(-0.08, 0.4)
            await asyncio.sleep(min(work * machine.pace * cold * much, max(0.0, until - loop.time())))
        finally:
            machine.free()
            self.requests.run_ended(loop.time(), id)
        if machine.gone:
            await asyncio.sleep(FOREVER_S)
        if self.random.random() < machine.cuts:
            return None
        if self.random.random() < machine.spoils:
            if int(machine.id[2:]) % 2:
                own = self._reply(link, 200, {b"x-try-id": id, b"x-seal": b"s"}, id)
                link.own = loop.create_task(own, context=Context())
            return await self._reply(link, 200, {b"x-try-id": b"other", b"x-seal": b"s"}, b"other")
        status = 504 if loop.time() >= until else 500 if failed else 200
        return await self._reply(link, status, {b"x-try-id": id, b"x-seal": b"s"}, id)

    async def drop(self, link):
        """The machine hears that a connection has ended, and stops its work for it."""
        await asyncio.sleep(self.delay(link.front, link.machine))
        if not self.cut(link.front, link.machine):
            link.work.cancel()

    async def _reply(self, link, status, fields, body=b""):
        machine = link.machine
        await asyncio.sleep(self.delay(link.front, machine))
        if self.cut(link.front, machine):
            await asyncio.sleep(FOREVER_S)
        load = b"%d,%d,%d" % (machine.running, len(machine.waiting), machine.slots)
        fields = {**fields, b"x-load": load}
        return Reply(status, list(fields.items()), body, None, fields)
