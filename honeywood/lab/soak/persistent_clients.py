"""Clients that keep their connections for many requests, also while the proxy stops.

A client sends some requests behind others that are not answered yet. It sends an operation again, with a new
id, after a response that guarantees that the request was not executed, and if the request stood behind a
response that closed the connection. An idempotent request is sent again after any failure.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from honeywood.lab.emulator.rules.request_rules import NOT_EXECUTED_STATUSES
from honeywood.lab.soak.client_context import ClientContext
from honeywood.lab.soak.client_messages import BODY, DEADLINE_S, encode_request, read_response
from honeywood.lab.soak.record import ClientRequest

IDEMPOTENT_SHARE = 0.4
BATCH_SHARE = 0.3  # of the exchanges, in which several requests are sent at once
MAX_BATCH = 4
MAX_ATTEMPTS = 4  # of one operation
MAX_PAUSE_S = 0.8  # between the exchanges of a client
LONG_BODY_SHARE = 0.1
LONG_BODY_BYTES = 300_000
SPLIT_SHARE = 0.2  # of the messages, which are sent in two parts
MAX_SPLIT_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 1.0
RESET, END_OF_STREAM = "reset without a response", "end without a response"
CONNECTION_ENDS = RESET, END_OF_STREAM  # the events of a request whose connection ended before its response


@dataclass(slots=True)
class Operation:
    """What a client wants to have done, by one request or several."""

    idempotent: bool
    id: bytes = b""
    attempts: int = 0


class PersistentClients:
    """Clients that use a connection until it ends, then open the next one."""

    def __init__(self, context: ClientContext) -> None:
        """Use the proxies and the keys of `context`."""
        self._record = context.record
        self._proxies = context.proxies
        self._random = context.random
        self._clock = context.clock
        self._known_keys = context.known_keys
        self._last_id = 0

    async def run(self, seconds: float, count: int) -> None:
        """Run `count` clients for a time, then wait for the requests still open."""
        end = self._clock() + seconds
        await asyncio.gather(*(self._run_client(end) for _ in range(count)))

    async def _run_client(self, end: float) -> None:
        waiting: list[Operation] = []
        while self._clock() < end:
            proxy = self._random.choice(sorted(self._proxies))
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self._proxies[proxy])
            except (OSError, TimeoutError):
                await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
                continue
            connection = ClientConnection(self, proxy, reader, writer)
            waiting = await connection.use(waiting, end)

    def draw_operations(self) -> list[Operation]:
        """Return the operations of a client's next exchange."""
        in_batch = self._random.random() < BATCH_SHARE
        count = self._random.randint(2, MAX_BATCH) if in_batch else 1
        return [Operation(self._random.random() < IDEMPOTENT_SHARE) for _ in range(count)]

    def new_request(self, operation: Operation, proxy: str) -> ClientRequest:
        """Record the next request for an operation."""
        self._last_id += 1
        request_id = b"k%015x" % self._last_id
        operation.id = operation.id or request_id
        operation.attempts += 1
        key = self._random.choice(self._known_keys())
        request = ClientRequest(
            request_id, operation.idempotent, proxy, key, self._clock(), operation=operation.id
        )
        self._record.requests[request_id] = request
        return request

    def draw_body(self) -> bytes:
        """Return the body of a request that is not idempotent."""
        return BODY * (LONG_BODY_BYTES // len(BODY)) if self._random.random() < LONG_BODY_SHARE else BODY

    def draw_split(self, size: int) -> int:
        """Return after how many bytes of a message its sender pauses."""
        return self._random.randrange(size) if self._random.random() < SPLIT_SHARE else size

    def draw_split_delay_s(self) -> float:
        """Return for how long the sender of a message pauses."""
        return self._random.uniform(0.0, MAX_SPLIT_DELAY_S)

    def draw_pause_s(self) -> float:
        """Return the time between two exchanges."""
        return self._random.uniform(0.0, MAX_PAUSE_S) if self._random.random() < 0.5 else 0.0

    def note(self, request: ClientRequest, connection: str, what: str) -> None:
        """Add to the course of a request."""
        self._record.add_event(request.id, self._clock(), connection, what)

    @property
    def clock(self) -> Callable[[], float]:
        """Monotonic seconds."""
        return self._clock


class ClientConnection:
    """One connection of a client, used until it ends."""

    def __init__(
        self,
        clients: PersistentClients,
        proxy: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Use an open connection to `proxy`."""
        self._clients = clients
        self._proxy = proxy
        self._reader = reader
        self._writer = writer
        port = writer.get_extra_info("sockname")[1]
        self._name = f"client {port} to {proxy}"

    async def use(self, waiting: list[Operation], end: float) -> list[Operation]:
        """Exchange requests until the connection or the time ends; return the operations to be sent again."""
        try:
            while self._clients.clock() < end or waiting:
                operations = waiting or self._clients.draw_operations()
                waiting, is_open = await self._exchange(operations)
                if not is_open or self._clients.clock() >= end:
                    return waiting
                if waiting:  # each further attempt uses a new connection
                    return waiting
                await asyncio.sleep(self._clients.draw_pause_s())
            return []
        finally:
            self._writer.close()

    async def _exchange(self, operations: Sequence[Operation]) -> tuple[list[Operation], bool]:
        """Send a request for each operation and read the responses.

        Returns the operations that may be sent again, and whether the connection is still open.
        """
        requests = [self._clients.new_request(operation, self._proxy) for operation in operations]
        sending = asyncio.ensure_future(self._send(requests))
        try:
            answered, closed_by_response = await self._read(requests)
        finally:
            sending.cancel()
            await asyncio.wait((sending,))
        for request in requests[answered:]:
            if closed_by_response:
                request.is_unread = True
                self._clients.note(request, self._name, "sent behind a closing response")
        again = [
            operation
            for operation, request in zip(operations, requests, strict=True)
            if operation.attempts < MAX_ATTEMPTS and _may_send_again(request)
        ]
        return again, answered == len(requests) and not closed_by_response

    async def _send(self, requests: Sequence[ClientRequest]) -> None:
        clients = self._clients
        data = b"".join(encode_request(request, clients.draw_body()) for request in requests)
        split = clients.draw_split(len(data))
        try:
            self._writer.write(data[:split])
            if split < len(data):
                await asyncio.sleep(clients.draw_split_delay_s())
                self._writer.write(data[split:])
            await self._writer.drain()
        except OSError:
            pass  # the reader sees the end of the connection

    async def _read(self, requests: Sequence[ClientRequest]) -> tuple[int, bool]:
        """Read responses; return how many there were, and whether the last one closed the connection."""
        for answered, request in enumerate(requests):
            try:
                async with asyncio.timeout(DEADLINE_S + 0.5):
                    response = await read_response(self._reader)
            except TimeoutError:
                self._clients.note(request, self._name, "no response in time")
                return answered, False
            except ConnectionError:
                self._note_end(request, RESET)
                return answered, False
            except (OSError, EOFError):
                self._note_end(request, END_OF_STREAM)
                return answered, False
            request.status, request.body = response.status, response.body
            self._clients.note(request, self._name, f"answered {response.status}")
            if response.closes_connection:
                return answered + 1, True
        return len(requests), False

    def _note_end(self, request: ClientRequest, what: str) -> None:
        """Record that the connection ended without a response to a request."""
        request.unanswered_at = self._clients.clock()
        self._clients.note(request, self._name, what)


def _may_send_again(request: ClientRequest) -> bool:
    """Return whether a client sends an operation again after the outcome of a request."""
    if request.status == HTTPStatus.OK:
        return False
    if request.is_unread or request.status in NOT_EXECUTED_STATUSES:
        return True
    return request.idempotent
