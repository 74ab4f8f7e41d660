"""rpc/idle_connections.py: which connection is reused, and which are closed."""

from ward import test

from honeywood.gateway.rpc.idle_connections import MAX_IDLE_S, IdleConnections

PEER, OTHER = ("a", 1), ("a", 2)


class StubConnection:
    """The members of Connection that IdleConnections uses."""

    def __init__(self, idle_since=0.0, reusable=True):
        self.idle_since, self.reusable, self.closed = idle_since, reusable, False

    def close(self):
        self.closed = True


@test("the most recently used connection to the same peer is taken first")
def _():
    idle, first, second = IdleConnections(), StubConnection(), StubConnection()
    idle.put(PEER, first)
    idle.put(PEER, second)
    assert idle.take(OTHER, 1.0) is None and set(idle) == {first, second}
    assert [idle.take(PEER, 1.0) for _ in range(3)] == [second, first, None]


@test("take closes connections that are not reusable or were idle for too long")
def _():
    idle, usable = IdleConnections(), StubConnection(idle_since=1.0)
    broken, expired = StubConnection(idle_since=1.0, reusable=False), StubConnection()
    for connection in (usable, broken, expired):
        idle.put(PEER, connection)
    assert idle.take(PEER, MAX_IDLE_S) is usable and broken.closed and expired.closed and not usable.closed
    assert not list(idle)
