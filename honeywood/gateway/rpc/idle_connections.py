"""Connections to other programs that are kept between calls. No clock: times are handed in."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator

    from honeywood.gateway.rpc.connection import Connection

MAX_IDLE_S = 5.0  # seconds after which an idle connection isn't trusted any more


class IdleConnections:
    """Idle connections by peer; the one used last is taken first."""

    __slots__ = ("_by_peer",)

    def __init__(self) -> None:
        """Begin without connections."""
        self._by_peer: dict[tuple[str, int], list[Connection]] = {}

    def __iter__(self) -> Iterator[Connection]:
        """Yield all of them."""
        for connections in self._by_peer.values():
            yield from connections

    def put(self, peer: tuple[str, int], connection: Connection) -> None:
        """Keep a connection to `peer`, which is (ip, port)."""
        self._by_peer.setdefault(peer, []).append(connection)

    def take(self, peer: tuple[str, int], now: float) -> Connection | None:
        """Return a connection that may be used, None if there is none; ends those that may not be."""
        connections = self._by_peer.get(peer, [])
        while connections:
            connection = connections.pop()
            if connection.reusable and now - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.close()
        return None
