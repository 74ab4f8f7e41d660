"""The scripted service machines of a soak test."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from honeywood.lab.soak.record import Execution, Record
from honeywood.standins.requests import read_request

RESPONSE = b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nX-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s"
MISDIRECTED = b"HTTP/1.1 421 No\r\nX-Try-Id: %s\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n"
STRAY_BODY = b"stray"
SLOTS = 20
MEAN_WORK_S, MEAN_SLOW_WORK_S = 0.05, 0.9


@dataclass(slots=True)
class MachineFaults:
    """The shares of requests whose response is lost, is preceded by a stray response, or is slow."""

    lost_share: float = 0.0
    stray_share: float = 0.0
    slow_share: float = 0.0


class SoakMachine:
    """One service machine on loopback; `faults` may be changed at any time."""

    def __init__(
        self,
        record: Record,
        machine_id: str,
        service: str,
        random: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Record each execution in `record`."""
        self.id = machine_id
        self.faults = MachineFaults()
        self._record = record
        self._service = service
        self._random = random
        self._clock = clock
        self._running = 0
        self._heartbeats = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    @property
    def address(self) -> str:
        """The address as ip:port; available once the machine is open."""
        assert self._server is not None, "the machine is not open"
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def next_heartbeat(self) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self._heartbeats += 1
        return {
            "svc": self._service,
            "addr": self.address,
            "zone": "hall",
            "ver": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_s": 0,
            "seq": self._heartbeats,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, fields, _ = await read_request(reader)
                if not await self._respond(fields, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _respond(
        self, fields: dict[bytes, bytes], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Execute a request and respond; return whether the connection stays open."""
        request_id = fields[b"x-try-id"]
        if fields[b"x-want-instance"] != self.id.encode():
            writer.write(MISDIRECTED % (request_id, self.id.encode()))
            return True
        disconnected = await self._execute(request_id, fields, reader)
        if disconnected or self._random.random() < self.faults.lost_share:
            return False
        if self._random.random() < self.faults.stray_share:
            self._write_response(writer, STRAY_BODY)
        self._write_response(writer, request_id)
        return True

    def _write_response(self, writer: asyncio.StreamWriter, request_id: bytes) -> None:
        writer.write(RESPONSE % (request_id, self._running, SLOTS, len(request_id), request_id))

    async def _execute(
        self, request_id: bytes, fields: dict[bytes, bytes], reader: asyncio.StreamReader
    ) -> bool:
        """Execute a request and record it; return whether the client disconnected meanwhile."""
        tenant = fields.get(b"x-tenant", b"").decode()
        execution = Execution(request_id, tenant, b"x-api-key" in fields, self._clock())
        self._record.executions.append(execution)
        self._running += 1
        disconnected = await self._work(reader, int(fields[b"x-deadline-ms"]) / 1000)
        self._running -= 1
        execution.ended_at = self._clock()
        return disconnected

    async def _work(self, reader: asyncio.StreamReader, max_s: float) -> bool:
        """Work for a random time; stop early and return True if the client disconnects meanwhile."""
        mean_s = MEAN_SLOW_WORK_S if self._random.random() < self.faults.slow_share else MEAN_WORK_S
        disconnect = asyncio.ensure_future(reader.read(1))
        work_s = min(max_s, self._random.expovariate(1 / mean_s))
        done, _ = await asyncio.wait((disconnect,), timeout=work_s)
        if done:
            disconnect.exception()  # retrieves the exception of a reset, which is a disconnect as well
            return True
        disconnect.cancel()
        await asyncio.wait((disconnect,))  # otherwise the next read would find this one still in progress
        return False
