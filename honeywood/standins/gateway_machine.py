"""A stub of a machine behind the gateway: serves one service on loopback and fails a share of requests."""

import asyncio
import random

from honeywood.standins.requests import read_request

WORK_S = 0.03  # mean processing time of a request
SLOTS = 6


class Machine:
    """One incarnation of a machine."""

    def __init__(self, service: str, version: str, failing_share: float) -> None:
        self.service, self.version, self.failing_share, self.random = (
            service,
            version,
            failing_share,
            random.Random(),
        )
        self.id, self.sequence, self.running = f"i-{self.random.randrange(1 << 32):08x}", 0, 0
        self.server: asyncio.Server | None = None

    async def open(self) -> "Machine":
        """Start to listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self

    def close(self) -> None:
        """Stop accepting connections."""
        assert self.server is not None, "the machine is not open"
        self.server.close()

    def heartbeat(self) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        assert self.server is not None, "the machine is not open"
        self.sequence += 1
        address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return {
            "svc": self.service,
            "addr": address,
            "zone": "hall",
            "ver": self.version,
            "slots": SLOTS,
            "state": "ready",
            "cold_left_s": 0,
            "seq": self.sequence,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection until the client closes it."""
        try:
            while True:
                _, fields, _ = await read_request(reader)
                writer.write(await self.answer(fields))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def answer(self, fields: dict[bytes, bytes]) -> bytes:
        """Return the response to a request; 421 if it is meant for another incarnation."""
        if fields.get(b"x-want-instance") != self.id.encode():
            return (
                b"HTTP/1.1 421 Misdirected Request\r\nX-Try-Id: %s\r\nX-Instance: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % (fields[b"x-try-id"], self.id.encode())
            )
        self.running += 1
        await asyncio.sleep(self.random.expovariate(1 / WORK_S))
        self.running -= 1
        status = b"500 Error" if self.random.random() < self.failing_share else b"200 OK"
        return (
            b"HTTP/1.1 %s\r\nX-Try-Id: %s\r\nX-Seal: s\r\nX-Load: %d,0,%d\r\nContent-Length: 2\r\n\r\n%s"
            % (status, fields[b"x-try-id"], self.running, SLOTS, self.version.encode())
        )
