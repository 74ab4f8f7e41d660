"""A proxy's simulated connection to a machine, with the interface of rpc.connection.Connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context
from dataclasses import replace
from typing import TYPE_CHECKING

from honeywood.gateway.rpc.reply import ExchangeFailure, Reply

if TYPE_CHECKING:
    from honeywood.gateway.rpc.headers import HeaderField, HeaderFields
    from honeywood.lab.emulator.machine import Machine
    from honeywood.lab.emulator.machine_network import MachineNetwork


class MachineConnection:
    """One simulated connection of a proxy to a machine.

    `response_after_stray` is the response that follows a stray one, `serving` the machine's task for the
    current request.
    """

    def __init__(
        self,
        network: MachineNetwork,
        proxy: str,
        machine: Machine,
        on_count_change: Callable[[int], None],
    ) -> None:
        """Open the connection; `on_count_change` is called with +1 now and with -1 when it ends."""
        self.proxy = proxy
        self.machine = machine
        self.reusable = True
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.response_after_stray: asyncio.Future[Reply | None] | None = None
        self.serving: asyncio.Task[Reply | None] | None = None
        self._network = network
        self._on_count_change = on_count_change
        self._broken: asyncio.Future[None] | None = None
        machine.connections[self] = None
        on_count_change(1)

    @property
    def ended(self) -> bool:
        """Whether the connection has ended."""
        return self not in self.machine.connections

    def close(self) -> None:
        """End the connection and the request in progress on it."""
        if not self.reusable and self.ended:
            return
        self.reusable = False
        self.machine.connections.pop(self, None)
        self._on_count_change(-1)
        if self._broken is not None and not self._broken.done():
            self._broken.set_result(None)
        if self.serving is not None and self.machine.end is None:
            cancellation = self._network.cancel_serving(self)
            asyncio.get_running_loop().create_task(cancellation, context=Context())

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: HeaderFields,
        body: bytes,
        deadline: float,
        expected_header: HeaderField | None = None,
    ) -> Reply | ExchangeFailure:
        """Send a request and return its reply, as over a real connection."""
        loop = asyncio.get_running_loop()
        if not self.reusable:
            return ExchangeFailure("the connection had ended", False)
        self._broken = loop.create_future()
        serving = loop.create_task(self._network.serve(self, dict(headers)), context=Context())
        self.serving = serving
        return await self._reply_by(deadline, serving, expected_header)

    async def read_next_reply(self, deadline: float) -> Reply | ExchangeFailure:
        """Return the response after a stray one, or a failure if none arrives before the deadline."""
        if self.response_after_stray is None:
            self.response_after_stray = asyncio.get_running_loop().create_future()
        return await self._reply_by(deadline, self.response_after_stray, None)

    async def _reply_by(
        self,
        deadline: float,
        response: asyncio.Future[Reply | None],
        expected_header: HeaderField | None,
    ) -> Reply | ExchangeFailure:
        loop = asyncio.get_running_loop()
        assert self._broken is not None, "no request was sent"
        timeout_s = max(0.0, deadline - loop.time())
        await asyncio.wait((response, self._broken), timeout=timeout_s, return_when="FIRST_COMPLETED")
        reply = response.result() if response.done() and not response.cancelled() else None
        if reply is not None:
            self.idle_since = loop.time()
            return self._mark_surplus(reply, expected_header)
        timed_out = not response.done() and not self._broken.done()
        self.close()
        return ExchangeFailure("time is up" if timed_out else "reset", True, timed_out)

    def _mark_surplus(self, reply: Reply, expected_header: HeaderField | None) -> Reply:
        """Return the reply, marked as surplus if it belongs to another request."""
        if expected_header is None:
            return reply
        name, value = expected_header
        if reply.fields.get(name, value) == value:
            return reply
        self.reusable = False
        return replace(reply, surplus=True)
