"""rpc/client_disconnect.py: who is notified, and when."""

from ward import test

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect


@test("a disconnect is notified once to each listener, at once to a later one, not to one that unsubscribed")
def _():
    heard, disconnect = [], ClientDisconnect()
    disconnect.subscribe(lambda: heard.append("a"))
    disconnect.subscribe(gone := lambda: heard.append("b"))
    disconnect.unsubscribe(gone)
    disconnect.notify(1.0)
    disconnect.notify(2.0)
    disconnect.subscribe(lambda: heard.append("c"))
    assert heard == ["a", "c"] and disconnect.disconnected_at == 1.0


@test("a disconnect that was not read is found by its probe")
def _():
    left = []
    disconnect = ClientDisconnect(lambda: bool(left))
    assert not disconnect.check(1.0)
    left.append(True)
    assert not disconnect.happened and disconnect.check(2.0) and disconnect.disconnected_at == 2.0
