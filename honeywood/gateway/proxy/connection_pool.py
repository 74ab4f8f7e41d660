"""Connections to endpoints, kept between requests. The attempt policy limits their number."""

from __future__ import annotations

from honeywood.gateway.proxy.idle_limits import IdleLimits
from honeywood.gateway.routing.endpoint_state import EndpointState
from honeywood.gateway.rpc.connection import CONNECT_ERRORS

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.pending_request import PendingRequest
    from honeywood.gateway.rpc.connection import Connection

    Connect = Callable[[str, int, float, Callable[[int], None]], Awaitable[Connection]]

CONNECT_TIMEOUT_S = 0.25
MIN_CONNECT_TIMEOUT_S = 0.001  # even if the deadline has passed
DEFAULT_KEEP_ALIVE_S = 8.0  # if the endpoint doesn't announce how long it keeps an idle connection
KEEP_ALIVE_MARGIN_S = 1.0  # before the announced end of an idle connection, in which it is no longer used


class ConnectionPool:
    """Opens connections to endpoints, and keeps idle connections for reuse."""

    def __init__(self, clock: Callable[[], float], connect: Connect) -> None:
        """Starts without connections; `connect` has the parameters and result of `Connection.open`."""
        self.clock = clock
        self.connect = connect
        self.opened = 0  # connections opened or attempted since the start
        # Open connections, idle or in use. One that ends by itself is kept until `close_expired`.
        self.connections: dict[Connection, Endpoint] = {}
        self.idle_limits = IdleLimits()

    def take_idle(self, endpoint: Endpoint, request: PendingRequest) -> Connection | None:
        """Takes an idle connection out of the pool; None if the request may use none.

        All idle connections are closed then, so that the connection that is opened instead replaces one.
        """
        now = self.clock()
        idle = endpoint.idle_connections
        for connection in [one for one in reversed(idle) if request.may_use(one)]:
            idle.remove(connection)
            if self.is_usable(now, endpoint, connection):
                return connection
            self._close(connection)
        self.close_idle(endpoint)
        return None

    def is_usable(self, now: float, endpoint: Endpoint, connection: Connection) -> bool:
        """Returns whether an idle connection may be used.

        Endpoints may drop idle connections sooner than they announce, without closing them. The next request
        on a dropped connection is lost, and fails if it may not be sent again.
        """
        if not connection.reusable:
            return False
        learned_s = self.idle_limits.limit_s(now, endpoint.service)
        announced_s = (connection.keep_alive_s or DEFAULT_KEEP_ALIVE_S) - KEEP_ALIVE_MARGIN_S
        return now - connection.idle_since < min(announced_s, learned_s)

    def record_break(self, endpoint: Endpoint, idle_s: float, elapsed_s: float) -> None:
        """Records that a connection, idle for `idle_s` before, broke `elapsed_s` after a request was sent."""
        self.idle_limits.record_break(self.clock(), endpoint.service, idle_s, elapsed_s)

    async def open(self, endpoint: Endpoint, deadline: float) -> Connection | None:
        """Opens a connection; returns None if it could not be established in time.

        `deadline` is in seconds on the pool's clock.
        """
        self.opened += 1
        endpoint.opening_connections += 1
        timeout_s = max(MIN_CONNECT_TIMEOUT_S, min(CONNECT_TIMEOUT_S, deadline - self.clock()))
        try:
            connection = await self.connect(
                endpoint.ip, endpoint.port, timeout_s, endpoint.connection_changed
            )
        except CONNECT_ERRORS:
            return None
        finally:
            endpoint.opening_connections -= 1
        self.connections[connection] = endpoint
        connection.on_release = lambda connection: self.release(endpoint, connection)
        return connection

    def release(self, endpoint: Endpoint, connection: Connection) -> None:
        """Keeps a connection for reuse, or closes it if it is not reusable or its endpoint is not ready."""
        if connection.reusable and endpoint.state is EndpointState.READY:
            endpoint.idle_connections.append(connection)
        else:
            self._close(connection)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the idle connections of an endpoint."""
        for connection in endpoint.idle_connections:
            self._close(connection)
        endpoint.idle_connections.clear()

    def close_expired(self, endpoints: Iterable[Endpoint]) -> None:
        """Closes the idle connections that may no longer be used, and forgets those that have ended."""
        now = self.clock()
        for endpoint in endpoints:
            idle = endpoint.idle_connections
            kept = [one for one in idle if self.is_usable(now, endpoint, one)]
            for connection in idle:
                if connection not in kept:
                    self._close(connection)
            idle[:] = kept
        for connection in [one for one in self.connections if one.ended]:
            del self.connections[connection]

    def _close(self, connection: Connection) -> None:
        connection.close()
        self.connections.pop(connection, None)
