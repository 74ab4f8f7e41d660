"""rpc/client_disconnect.py: which listeners are notified of a disconnect, and when."""

from ward import test

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect


@test("a disconnect notifies each listener once, later ones immediately, and none that has unsubscribed")
def _():
    notified, disconnect = [], ClientDisconnect()
    disconnect.subscribe(lambda: notified.append("a"))
    disconnect.subscribe(unsubscribed := lambda: notified.append("b"))
    disconnect.unsubscribe(unsubscribed)
    disconnect.notify(1.0)
    disconnect.notify(2.0)
    disconnect.subscribe(lambda: notified.append("c"))
    assert notified == ["a", "c"] and disconnect.disconnected_at == 1.0


@test("a disconnect that has not been read yet is detected by the probe")
def _():
    disconnected = []
    disconnect = ClientDisconnect(lambda: bool(disconnected))
    assert not disconnect.check(1.0)
    disconnected.append(True)
    assert not disconnect.happened and disconnect.check(2.0) and disconnect.disconnected_at == 2.0
