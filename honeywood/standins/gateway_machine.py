"""A stand-in machine of the system: serves one service on loopback, a share of its answers fails."""

import asyncio
import random

from honeywood.standins.requests import read_request

WORK_S = 0.03  # mean seconds of work a request
SLOTS = 6


class Machine:
    """One life of a machine."""

    def __init__(self, svc: str, ver: str, bad: float) -> None:
        self.svc, self.ver, self.bad, self.random = svc, ver, bad, random.Random()
        self.id, self.seq, self.running = f"i-{self.random.randrange(1 << 32):08x}", 0, 0
        self.server: asyncio.Server | None = None

    async def open(self) -> "Machine":
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self

    def close(self) -> None:
        assert self.server is not None, "the machine is not open"
        self.server.close()

    def heartbeat(self) -> dict[str, object]:
        assert self.server is not None, "the machine is not open"
        self.seq += 1
        address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return {
            "svc": self.svc,
            "addr": address,
            "zone": "hall",
            "ver": self.ver,
            "slots": SLOTS,
            "state": "ready",
            "cold_left_s": 0,
            "seq": self.seq,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, fields, _ = await read_request(reader)
                writer.write(await self.answer(fields))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def answer(self, fields: dict[bytes, bytes]) -> bytes:
        if fields.get(b"x-want-instance") != self.id.encode():
            return (
                b"HTTP/1.1 421 Misdirected Request\r\nX-Try-Id: %s\r\nX-Instance: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % (fields[b"x-try-id"], self.id.encode())
            )
        self.running += 1
        await asyncio.sleep(self.random.expovariate(1 / WORK_S))
        self.running -= 1
        status = b"500 Error" if self.random.random() < self.bad else b"200 OK"
        return (
            b"HTTP/1.1 %s\r\nX-Try-Id: %s\r\nX-Seal: s\r\nX-Load: %d,0,%d\r\nContent-Length: 2\r\n\r\n%s"
            % (status, fields[b"x-try-id"], self.running, SLOTS, self.ver.encode())
        )
