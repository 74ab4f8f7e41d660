"""rpc/flow_control.py: a disconnect is detected while reading is paused. Runs on a simulated clock."""

import asyncio

from ward import each, test

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
from honeywood.gateway.rpc.flow_control import DISCONNECT_CHECK_S, DisconnectWatchingFlowControl
from honeywood.lab.emulator.loop import Loop


class RecordingTransport(asyncio.Transport):
    """Records the calls of its methods."""

    def __init__(self):
        super().__init__()
        self.actions = []

    def pause_reading(self):
        self.actions.append("pause")

    def resume_reading(self):
        self.actions.append("resume")

    def abort(self):
        self.actions.append("abort")

    def is_closing(self):
        return "abort" in self.actions


def actions_while_paused(periods, disconnected_at, resume_at=None, stop_at=None):
    """Return the actions on a transport whose reading is paused, and when the disconnect was detected.

    All times are given in periods of DISCONNECT_CHECK_S.
    """
    loop = Loop()
    transport, disconnected = RecordingTransport(), []
    disconnect = ClientDisconnect(lambda: bool(disconnected))
    flow = DisconnectWatchingFlowControl(transport, loop, disconnect)
    flow.pause_reading()
    loop.call_later(disconnected_at * DISCONNECT_CHECK_S, disconnected.append, True)
    if resume_at is not None:
        loop.call_later(resume_at * DISCONNECT_CHECK_S, flow.resume_reading)
    if stop_at is not None:
        loop.call_later(stop_at * DISCONNECT_CHECK_S, flow.stop_watching)
    loop.run_until_complete(asyncio.sleep(periods * DISCONNECT_CHECK_S))
    loop.close()
    return transport.actions, disconnect.disconnected_at


@test("a disconnect in check period {period} is detected at the end of that period")
def _(period=each(1, 2, 5)):
    actions, detected_at = actions_while_paused(10, period - 0.5)
    assert actions == ["pause", "abort"] and abs(detected_at - period * DISCONNECT_CHECK_S) < 0.001


@test("there are no checks after reading has resumed or watching has been stopped")
def _():
    assert actions_while_paused(10, 2.5, resume_at=1.5) == (["pause", "resume"], None)
    assert actions_while_paused(10, 2.5, stop_at=1.5) == (["pause"], None)
