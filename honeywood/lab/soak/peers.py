"""Those that a soak plays itself: machines that hold to a script of troubles, and clients that may leave."""

import asyncio
import random
import socket
import struct

from honeywood.lab.soak.rules import Record, Run, Try
from honeywood.standins.requests import read_request

HEAD = b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nX-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s"
MISDIRECTED = b"HTTP/1.1 421 No\r\nX-Try-Id: %s\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n"
SLOTS = 20
WORK_S, SLOW_WORK_S = 0.05, 0.9  # mean seconds of a request's work
DEADLINE_S = 1.5  # of clients
LEAVES_WITHIN_S = 0.4  # a client that leaves does so within this
PIPELINED_SHARE, RESET_SHARE = 0.2, 0.3  # of clients that send two at once; of those that leave by a reset


class SoakMachine:
    """One service machine on loopback. `lost`, `stray` and `slow` are shares of its requests."""

    def __init__(self, record: Record, id: str, service: str, chance: random.Random, clock):
        self.record, self.id, self.service, self.chance, self.clock = record, id, service, chance, clock
        self.lost, self.stray, self.slow, self.running, self.seq = 0.0, 0.0, 0.0, 0, 0
        self.server = None

    async def open(self):
        """Listens on a port of its own."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    @property
    def address(self) -> str:
        """ip:port"""
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def heartbeat(self) -> dict:
        """The body of its next heartbeat."""
        self.seq += 1
        return {
            "svc": self.service,
            "addr": self.address,
            "zone": "hall",
            "ver": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_s": 0,
            "seq": self.seq,
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                _, fields, _ = await read_request(reader)
                if not await self._answer(fields, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, fields, reader, writer):
        """Whether the connection goes on."""
        id = fields[b"x-try-id"]
        if fields[b"x-want-instance"] != self.id.encode():
            writer.write(MISDIRECTED % (id, self.id.encode()))
            return True
        tenant = fields.get(b"x-tenant", b"").decode()
        run = Run(id, tenant, b"x-api-key" in fields, self.clock())
        self.record.runs.append(run)
        self.running += 1
        dropped = await self._work(reader, int(fields[b"x-deadline-ms"]) / 1000)
        self.running -= 1
        run.ended_at = self.clock()
        if dropped or self.chance.random() < self.lost:
            return False
        if self.chance.random() < self.stray:
            writer.write(HEAD % (b"stray", self.running, SLOTS, 5, b"stray"))
        writer.write(HEAD % (id, self.running, SLOTS, len(id), id))
        return True

    async def _work(self, reader, most_s):
        """Works for a while; True where the connection ended meanwhile, which ends the work."""
        mean_s = SLOW_WORK_S if self.chance.random() < self.slow else WORK_S
        ended = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait((ended,), timeout=min(most_s, self.chance.expovariate(1 / mean_s)))
        if done:
            ended.exception()
            return True
        ended.cancel()
        await asyncio.wait((ended,))  # else the next read finds this one under way
        return False


class SoakClients:
    """Clients that ask proxies of a service; `leaving` is the share that leaves before its answer."""

    def __init__(self, record: Record, places: dict[str, tuple[str, int]], chance, clock, keys):
        """`places` are proxies' addresses by name; `keys()` gives those that may be shown now."""
        self.record, self.places, self.chance, self.clock, self.keys = record, places, chance, clock, keys
        self.leaving, self.numbers, self.open = 0.0, 0, set()

    async def run(self, seconds: float, per_s: float):
        """Requests at a rate, then waits for those that are open."""
        until = self.clock() + seconds
        while self.clock() < until:
            task = asyncio.ensure_future(self._client())
            self.open.add(task)
            task.add_done_callback(self.open.discard)
            await asyncio.sleep(self.chance.expovariate(per_s))
        if self.open:
            await asyncio.wait(set(self.open), timeout=DEADLINE_S + 1.0)

    async def _client(self):
        name = self.chance.choice(sorted(self.places))
        safe = self.chance.random() < 0.7
        count = 2 if safe and self.chance.random() < PIPELINED_SHARE else 1
        stays_s = self.chance.uniform(0.0, LEAVES_WITHIN_S) if self.chance.random() < self.leaving else None
        tries = [self._try(name, safe) for _ in range(count)]
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(*self.places[name])
        except (OSError, TimeoutError):
            return
        for one in tries:
            self.record.tries[one.id] = one
        writer.write(b"".join(self._request(one) for one in tries))
        try:
            async with asyncio.timeout(DEADLINE_S if stays_s is None else stays_s):
                for one in tries:
                    await self._read(reader, one)
        except TimeoutError:  # before OSError, which it is one of
            for one in tries:
                if stays_s is not None and one.status is None:
                    one.left_at = self.clock()
        except (OSError, EOFError):
            pass
        finally:
            self._end(writer)

    def _try(self, proxy, safe):
        self.numbers += 1
        key = self.chance.choice(self.keys())
        return Try(b"%016x" % self.numbers, safe, proxy, key, self.clock())

    @staticmethod
    def _request(one):
        method, path = (b"GET", b"/safe/x") if one.safe else (b"POST", b"/unsafe/x")
        body = b"" if one.safe else b"body"
        length = b"" if one.safe else b"Content-Length: 4\r\n"
        return (
            b"%s %s HTTP/1.1\r\nHost: soak.example\r\nX-Try-Id: %s\r\nX-Api-Key: %s\r\n"
            b"X-Deadline-Ms: %d\r\n%s\r\n%s"
            % (method, path, one.id, one.key.encode(), DEADLINE_S * 1000, length, body)
        )

    @staticmethod
    async def _read(reader, one):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = next(line for line in head.split(b"\r\n") if line.startswith(b"content-length:"))
        body = await reader.readexactly(int(length.partition(b":")[2]))
        one.status, one.body = int(head[9:12]), body

    def _end(self, writer):
        if self.chance.random() < RESET_SHARE:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            writer.close()
