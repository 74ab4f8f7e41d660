"""The scripted service machines of a soak test."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from honeywood.lab.soak.connection_reset import reset
from honeywood.lab.soak.machine_faults import MachineFaults
from honeywood.lab.soak.record import Execution, Record
from honeywood.standins.requests import read_request

RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nX-Load: %d,0,%d\r\n%sContent-Length: %d\r\n\r\n%s"
)
MISDIRECTED = b"HTTP/1.1 421 No\r\nX-Try-Id: %s\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n"
REJECTED = b"HTTP/1.1 %d No\r\nX-Try-Id: %s\r\nX-Not-Run: %s\r\nX-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 No\r\nX-Try-Id: %s\r\nX-Seal: s\r\nX-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n"
CLOSE = b"Connection: close\r\n"
STRAY_BODY = b"stray"
FIRST_VERSION = "v1"
MEAN_WORK_S, MEAN_SLOW_WORK_S = 0.05, 0.9
MAX_CONNECTIONS = 60
MAX_QUEUED = 3
SLOT_CHECK_S = 0.005
MIN_IDLE_S, MAX_IDLE_S = 0.3, 4.0
MAX_REPEAT_DELAY_S = 0.05
PORT = 18100  # not one that the kernel gives to connections, since a restarting machine needs it again


class SoakMachine:
    """One service machine on loopback; `faults` may be replaced at any time.

    While `running` is not set, it neither reads nor executes anything, although its connections can be used:
    what they carried is read later. A machine may be restarted: it then has another id, and its address may
    be that of an earlier machine.
    """

    def __init__(
        self,
        record: Record,
        machine_id: str,
        service: str,
        ip: str,
        random: random.Random,
        clock: Callable[[], float],
        version: str = FIRST_VERSION,
    ) -> None:
        """Record each execution in `record`; `ip` is the address on which the first incarnation listens."""
        self.id = machine_id
        self.ip = ip
        self.faults = MachineFaults()
        self.running = asyncio.Event()
        self.running.set()
        self.state = "ready"
        self.has_left = False  # if set, it sends no more heartbeats
        self._version = version
        self._name = machine_id
        self._restarts = 0
        self._record = record
        self._service = service
        self._random = random
        self._clock = clock
        self._in_progress = 0
        self._queued = 0
        self._heartbeats = 0
        self._idle_s = random.uniform(MIN_IDLE_S, MAX_IDLE_S)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, self.ip, PORT)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """End the machine's incarnation: stop listening and reset all connections."""
        self.close()
        for writer in list(self._writers):
            reset(writer)

    async def restart(self, ip: str) -> None:
        """Begin the next incarnation, at the address of an earlier machine."""
        self._restarts += 1
        self.id = f"{self._name}.{self._restarts}"
        self.ip = ip
        self._heartbeats, self.state = 0, "ready"
        await self.open()

    @property
    def service(self) -> str:
        """The name of the service."""
        return self._service

    @property
    def address(self) -> str:
        """The address as ip:port."""
        return f"{self.ip}:{PORT}"

    def next_heartbeat(self) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self._heartbeats += 1
        return {
            "svc": self._service,
            "addr": self.address,
            "zone": "hall",
            "ver": self._version,
            "slots": self.faults.slots,
            "state": self.state,
            "cold_left_s": 0,
            "seq": self._heartbeats,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        incarnation = self.id
        if len(self._writers) >= MAX_CONNECTIONS:
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while self.id == incarnation:
                await self.running.wait()
                async with asyncio.timeout(self._idle_s):
                    _, fields, _ = await read_request(reader)
                await self.running.wait()
                if not await self._respond(fields, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, fields: dict[bytes, bytes], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Execute or reject a request and respond; return whether the connection stays open."""
        request_id = fields[b"x-try-id"]
        if fields[b"x-want-instance"] != self.id.encode():
            self._note(request_id, writer, "misdirected")
            writer.write(MISDIRECTED % (request_id, self.id.encode()))
            return True
        if self._draws(self.faults.reset_share / 2):
            self._note(request_id, writer, "reset before execution")
            reset(writer)
            return False
        deadline = self._clock() + int(fields[b"x-deadline-ms"]) / 1000
        reason = await self._admit(deadline)
        if reason:
            self._reject(writer, request_id, reason)
            return True
        return await self._execute_and_respond(request_id, fields, reader, writer)

    async def _admit(self, deadline: float) -> str:
        """Wait for a slot; return why the request is rejected, "" if it is executed now."""
        if self._draws(self.faults.rejected_share):
            return "busy"
        if self._in_progress < self.faults.slots:
            return ""
        if self._queued >= MAX_QUEUED:
            return "full"
        self._queued += 1
        try:
            while self._in_progress >= self.faults.slots:
                if self._clock() >= deadline:
                    return "late"
                await asyncio.sleep(SLOT_CHECK_S)
            return ""
        finally:
            self._queued -= 1

    def _reject(self, writer: asyncio.StreamWriter, request_id: bytes, reason: str) -> None:
        self._note(request_id, writer, f"rejected: {reason}")
        status = self._random.choice((429, 503))
        self._write(
            writer, REJECTED % (status, request_id, reason.encode(), self._in_progress, self.faults.slots)
        )

    async def _execute_and_respond(
        self,
        request_id: bytes,
        fields: dict[bytes, bytes],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._note(request_id, writer, "execution begins")
        fails = self._draws(self.faults.failed_share)
        disconnected = await self._execute(request_id, fields, reader, fails)
        await self.running.wait()
        if disconnected or self._draws(self.faults.lost_share):
            return False
        if self._draws(self.faults.reset_share):
            reset(writer)
            return False
        if fails:
            writer.write(FAILED % (request_id, self._in_progress, self.faults.slots))
            return True
        if self._draws(self.faults.stray_share):
            writer.write(self._response(STRAY_BODY, b""))
        closes = self._draws(self.faults.closing_share)
        self._write(writer, self._response(request_id, CLOSE if closes else b""))
        return not closes

    def _response(self, request_id: bytes, header: bytes) -> bytes:
        return RESPONSE % (
            request_id,
            self._in_progress,
            self.faults.slots,
            header,
            len(request_id),
            request_id,
        )

    def _write(self, writer: asyncio.StreamWriter, response: bytes) -> None:
        """Write a response, some of them twice; the second one comes at once or late."""
        writer.write(response)
        if self._draws(self.faults.repeated_share):
            delay_s = self._random.choice((0.0, self._random.uniform(0.0, MAX_REPEAT_DELAY_S)))
            asyncio.get_running_loop().call_later(delay_s, _write_if_open, writer, response)

    async def _execute(
        self, request_id: bytes, fields: dict[bytes, bytes], reader: asyncio.StreamReader, fails: bool
    ) -> bool:
        """Execute a request and record it; return whether the client disconnected meanwhile."""
        max_s = int(fields[b"x-deadline-ms"]) / 1000
        hangs = self._draws(self.faults.hanging_share)
        is_slow = self._draws(self.faults.slow_share)
        mean_s = MEAN_SLOW_WORK_S if is_slow else MEAN_WORK_S
        work_s = max_s if hangs else min(max_s, self._random.expovariate(1 / mean_s))
        execution = Execution(
            request_id,
            fields.get(b"x-tenant", b"").decode(),
            b"x-api-key" in fields,
            self._clock(),
            machine=self.id,
            service=self._service,
            version=self._version,
            is_bad=is_slow or hangs or fails,
        )
        self._record.executions.append(execution)
        self._in_progress += 1
        disconnected = await self._work(reader, work_s)
        self._in_progress -= 1
        execution.ended_at = self._clock()
        return disconnected

    @staticmethod
    async def _work(reader: asyncio.StreamReader, work_s: float) -> bool:
        """Work for a time; stop early and return True if the client disconnects meanwhile."""
        disconnect = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait((disconnect,), timeout=work_s)
        if done:
            disconnect.exception()  # retrieves the exception of a reset, which is a disconnect as well
            return True
        disconnect.cancel()
        await asyncio.wait((disconnect,))  # otherwise the next read would find this one still in progress
        return False

    def _draws(self, share: float) -> bool:
        return self._random.random() < share

    def _note(self, request_id: bytes, writer: asyncio.StreamWriter, what: str) -> None:
        peer = writer.get_extra_info("peername")
        where = f"{self.id} from port {peer[1] if peer else '?'}"
        self._record.add_event(request_id, self._clock(), where, what)


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)
