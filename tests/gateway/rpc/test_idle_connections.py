"""rpc/idle_connections.py: which connection is taken, and which are ended."""

from ward import test

from honeywood.gateway.rpc.idle_connections import MAX_IDLE_S, IdleConnections

PEER, OTHER = ("a", 1), ("a", 2)


class StubConnection:
    """What IdleConnections asks of a connection."""

    def __init__(self, idle_since=0.0, reusable=True):
        self.idle_since, self.reusable, self.closed = idle_since, reusable, False

    def close(self):
        self.closed = True


@test("the connection used last is taken first, and only one to the same peer")
def _():
    idle, first, second = IdleConnections(), StubConnection(), StubConnection()
    idle.put(PEER, first)
    idle.put(PEER, second)
    assert idle.take(OTHER, 1.0) is None and set(idle) == {first, second}
    assert [idle.take(PEER, 1.0) for _ in range(3)] == [second, first, None]


@test("connections that are not reusable or were idle for too long are ended on the way")
def _():
    idle, fit = IdleConnections(), StubConnection(idle_since=1.0)
    broken, old = StubConnection(idle_since=1.0, reusable=False), StubConnection()
    for connection in (fit, broken, old):
        idle.put(PEER, connection)
    assert idle.take(PEER, MAX_IDLE_S) is fit and broken.closed and old.closed and not fit.closed
    assert not list(idle)
