"""Idle connections to other programs that are kept for later calls. Reads no clock: callers pass the time."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator

    from honeywood.gateway.rpc.connection import Connection

MAX_IDLE_S = 5.0  # seconds after which an idle connection is not trusted to be open and is not reused


class IdleConnections:
    """Idle connections by peer; the most recently used one is taken first."""

    __slots__ = ("_by_peer",)

    def __init__(self) -> None:
        """Start without connections."""
        self._by_peer: dict[tuple[str, int], list[Connection]] = {}

    def __iter__(self) -> Iterator[Connection]:
        """Yield all idle connections."""
        for connections in self._by_peer.values():
            yield from connections

    def put(self, peer: tuple[str, int], connection: Connection) -> None:
        """Keep an idle connection to `peer`, an (ip, port) pair."""
        self._by_peer.setdefault(peer, []).append(connection)

    def take(self, peer: tuple[str, int], now: float) -> Connection | None:
        """Remove and return a reusable connection to `peer`, or None.

        Connections found to be broken, or idle for `MAX_IDLE_S` seconds or more at `now`, are closed.
        """
        connections = self._by_peer.get(peer, [])
        while connections:
            connection = connections.pop()
            if connection.reusable and now - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.close()
        return None
