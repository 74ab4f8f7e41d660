"""Connections to endpoints, kept by life; how many there may be is the attempt policy's."""

from dataclasses import dataclass
from math import inf

import httpcore

from honeywood.gateway.routing.endpoint_state import READY

CONNECT_S = 0.25  # seconds for a connection to come up
LEAST_S = 0.001  # seconds that a connection is given, however late it is
TRUST_S = 8.0  # seconds an idle connection is trusted where the endpoint doesn't say
EARLY_S = 1.0  # seconds before its said end that it isn't used any more
AT_ONCE_S = 0.01  # what breaks so soon after a request was sent had been forgotten by the endpoint
RESTED_S = 0.1  # what rested less was not
LEARNT_PART = 0.75  # of the rest after which one was forgotten, a service's connections are trusted
LEARNT_S = 10.0  # seconds after which that is forgotten again


@dataclass(frozen=True, slots=True)
class RestBound:
    """For how long (seconds) a service's connections may rest, and when that was learnt."""

    rest_s: float = inf
    learnt_at: float = -inf

    def at(self, now):
        """The bound, unless it has been forgotten."""
        return self.rest_s if now - self.learnt_at < LEARNT_S else inf


NO_BOUND = RestBound()


class ConnectionPool:
    """Gives and takes back connections to endpoints."""

    def __init__(self, clock, connect):
        """`connect(ip, port, within_s, on_change)` opens one, as Connection.open does."""
        self.clock, self.connect, self.opened = clock, connect, 0
        self.rest_bounds = {}  # {service: RestBound}

    def take_idle(self, endpoint):
        """A kept connection that may be used, or None."""
        now = self.clock()
        while endpoint.idle_connections:
            connection = endpoint.idle_connections.pop()
            if self.is_trusted(now, endpoint, connection):
                return connection
            connection.close()
        return None

    def is_trusted(self, now, endpoint, connection):
        """Whether a kept connection may be used. Endpoints may forget connections sooner than they say,
        silently: a request is lost on the first, and if it may not be repeated, that is its end."""
        if not connection.reusable:
            return False
        bound = self.rest_bounds.get(endpoint.service, NO_BOUND).at(now)
        said_s = (connection.keep_alive_s or TRUST_S) - EARLY_S
        return now - connection.idle_since < min(said_s, bound)

    def broke_off(self, endpoint, rested_s, took_s):
        """A connection on which a request was sent after a rest broke within `took_s` seconds."""
        if took_s < AT_ONCE_S and rested_s > RESTED_S:
            now = self.clock()
            known_s = self.rest_bounds.get(endpoint.service, NO_BOUND).at(now)
            self.rest_bounds[endpoint.service] = RestBound(min(rested_s * LEARNT_PART, known_s), now)

    async def open(self, endpoint, until):
        """A new connection, or None where the endpoint is not reached in time."""
        self.opened += 1
        endpoint.opening_connections += 1
        within_s = max(LEAST_S, min(CONNECT_S, until - self.clock()))
        try:
            place = endpoint.ip, endpoint.port
            connection = await self.connect(*place, within_s, endpoint.connection_changed)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return None
        finally:
            endpoint.opening_connections -= 1
        connection.on_release = lambda connection: self.release(endpoint, connection)
        return connection

    def release(self, endpoint, connection):
        """Keeps a connection for later, unless it or its endpoint has ended."""
        if connection.reusable and endpoint.state == READY:
            endpoint.idle_connections.append(connection)
        else:
            connection.close()

    def close_idle(self, endpoint):
        """Ends what is kept of an endpoint that has left."""
        for connection in endpoint.idle_connections:
            connection.close()
        endpoint.idle_connections.clear()

    def close_expired(self, endpoints):
        """Ends what is too old; called now and then."""
        now = self.clock()
        for endpoint in endpoints:
            idle = endpoint.idle_connections
            kept = [one for one in idle if self.is_trusted(now, endpoint, one)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            idle[:] = kept
