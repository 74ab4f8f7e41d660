"""Connections to endpoints, kept between requests. How many there may be is the attempt policy's."""

from __future__ import annotations

import httpcore

from honeywood.gateway.proxy.idle_limits import IdleLimits
from honeywood.gateway.routing.endpoint_state import EndpointState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.rpc.connection import Connection

    Connect = Callable[[str, int, float, Callable[[int], None]], Awaitable[Connection]]

CONNECT_TIMEOUT_S = 0.25
MIN_CONNECT_TIMEOUT_S = 0.001  # however late the request is
DEFAULT_KEEP_ALIVE_S = 8.0  # where the endpoint doesn't say for how long it keeps an idle connection
KEEP_ALIVE_MARGIN_S = 1.0  # before the end that it says


class ConnectionPool:
    """Opens connections to endpoints, keeps idle ones and gives them out again."""

    def __init__(self, clock: Callable[[], float], connect: Connect) -> None:
        """`connect(ip, port, timeout_s, on_change)` opens a connection, as Connection.open does."""
        self.clock = clock
        self.connect = connect
        self.opened = 0  # since the start
        self.idle_limits = IdleLimits()

    def take_idle(self, endpoint: Endpoint) -> Connection | None:
        """An idle connection that may be used, or None."""
        now = self.clock()
        while endpoint.idle_connections:
            connection = endpoint.idle_connections.pop()
            if self.is_trusted(now, endpoint, connection):
                return connection
            connection.close()
        return None

    def is_trusted(self, now: float, endpoint: Endpoint, connection: Connection) -> bool:
        """Whether an idle connection may be used.

        Endpoints may drop connections sooner than they say, without closing them. The next request on such a
        connection is lost, and fails if it may not be sent again.
        """
        if not connection.reusable:
            return False
        learned_s = self.idle_limits.limit_s(now, endpoint.service)
        announced_s = (connection.keep_alive_s or DEFAULT_KEEP_ALIVE_S) - KEEP_ALIVE_MARGIN_S
        return now - connection.idle_since < min(announced_s, learned_s)

    def record_break(self, endpoint: Endpoint, idle_s: float, elapsed_s: float) -> None:
        """A connection that had been idle broke `elapsed_s` after a request was sent on it."""
        self.idle_limits.record_break(self.clock(), endpoint.service, idle_s, elapsed_s)

    async def open(self, endpoint: Endpoint, until: float) -> Connection | None:
        """A new connection, or None where it could not be established in time."""
        self.opened += 1
        endpoint.opening_connections += 1
        timeout_s = max(MIN_CONNECT_TIMEOUT_S, min(CONNECT_TIMEOUT_S, until - self.clock()))
        try:
            connection = await self.connect(
                endpoint.ip, endpoint.port, timeout_s, endpoint.connection_changed
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return None
        finally:
            endpoint.opening_connections -= 1
        connection.on_release = lambda connection: self.release(endpoint, connection)
        return connection

    def release(self, endpoint: Endpoint, connection: Connection) -> None:
        """Keeps a connection for later, unless it has ended or its endpoint takes no new requests."""
        if connection.reusable and endpoint.state is EndpointState.READY:
            endpoint.idle_connections.append(connection)
        else:
            connection.close()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the idle connections of an endpoint that is out of service."""
        for connection in endpoint.idle_connections:
            connection.close()
        endpoint.idle_connections.clear()

    def close_expired(self, endpoints: Iterable[Endpoint]) -> None:
        """Closes idle connections that may not be used any more."""
        now = self.clock()
        for endpoint in endpoints:
            idle = endpoint.idle_connections
            kept = [one for one in idle if self.is_trusted(now, endpoint, one)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            idle[:] = kept
