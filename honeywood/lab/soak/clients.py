"""The scripted clients of a soak test, some of which disconnect before they have received their response."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from honeywood.lab.soak.client_context import ClientContext
from honeywood.lab.soak.client_messages import DEADLINE_S, encode_request, read_response
from honeywood.lab.soak.connection_reset import reset
from honeywood.lab.soak.record import ClientRequest

MAX_DISCONNECT_DELAY_S = 0.4
"""The maximum time after which a disconnecting client leaves."""
IDEMPOTENT_SHARE = 0.7  # of the clients; the others send requests that are not idempotent
PIPELINED_SHARE = 0.2
"""Of the clients with idempotent requests; these send two requests at once."""
RESET_SHARE = 0.3
"""Of the connections; these are closed by a reset."""


class SoakClients:
    """Clients that send requests to proxies; `disconnecting_share` of them disconnect early."""

    def __init__(self, context: ClientContext) -> None:
        """Start without disconnecting clients."""
        self.disconnecting_share = 0.0
        self._record = context.record
        self._proxies = context.proxies
        self._random = context.random
        self._clock = context.clock
        self._known_keys = context.known_keys
        self._last_id = 0
        self._running_clients: set[asyncio.Future[None]] = set()

    async def run(self, seconds: float, requests_per_s: float) -> None:
        """Send requests at a given mean rate for a time, then wait for the requests still open."""
        end = self._clock() + seconds
        while self._clock() < end:
            client = asyncio.ensure_future(self._run_client())
            self._running_clients.add(client)
            client.add_done_callback(self._running_clients.discard)
            await asyncio.sleep(self._random.expovariate(requests_per_s))
        if self._running_clients:
            await asyncio.wait(set(self._running_clients), timeout=DEADLINE_S + 1.0)

    async def _run_client(self) -> None:
        proxy = self._random.choice(sorted(self._proxies))
        idempotent = self._random.random() < IDEMPOTENT_SHARE
        count = 2 if idempotent and self._random.random() < PIPELINED_SHARE else 1
        disconnect_delay_s = self._draw_disconnect_delay_s()
        requests = [self._new_request(proxy, idempotent) for _ in range(count)]
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(*self._proxies[proxy])
        except (OSError, TimeoutError):
            return
        self._send(requests, writer)
        try:
            await self._read_responses(reader, requests, disconnect_delay_s)
        finally:
            self._close(writer)

    def _draw_disconnect_delay_s(self) -> float | None:
        """Return the time after which a client disconnects; None if it waits for its response."""
        if self._random.random() < self.disconnecting_share:
            return self._random.uniform(0.0, MAX_DISCONNECT_DELAY_S)
        return None

    def _new_request(self, proxy: str, idempotent: bool) -> ClientRequest:
        self._last_id += 1
        request_id = b"%016x" % self._last_id
        key = self._random.choice(self._known_keys())
        return ClientRequest(request_id, idempotent, proxy, key, self._clock(), operation=request_id)

    def _send(self, requests: Sequence[ClientRequest], writer: asyncio.StreamWriter) -> None:
        for request in requests:
            self._record.requests[request.id] = request
        writer.write(b"".join(encode_request(request) for request in requests))

    async def _read_responses(
        self,
        reader: asyncio.StreamReader,
        requests: Sequence[ClientRequest],
        disconnect_delay_s: float | None,
    ) -> None:
        """Read the responses until the client's deadline or until it disconnects."""
        try:
            async with asyncio.timeout(DEADLINE_S if disconnect_delay_s is None else disconnect_delay_s):
                for request in requests:
                    response = await read_response(reader)
                    request.status, request.body = response.status, response.body
        except TimeoutError:  # caught before OSError, its base class
            for request in requests:
                if disconnect_delay_s is not None and request.status is None:
                    request.disconnected_at = self._clock()
        except (OSError, EOFError):
            pass

    def _close(self, writer: asyncio.StreamWriter) -> None:
        if self._random.random() < RESET_SHARE:
            reset(writer)
        else:
            writer.close()
