"""rpc/flow_control.py: a disconnect is noticed while reading is paused, on a clock that jumps."""

import asyncio

from ward import each, test

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
from honeywood.gateway.rpc.flow_control import DISCONNECT_CHECK_S, DisconnectWatchingFlowControl
from honeywood.lab.emulator.loop import Loop


class RecordingTransport(asyncio.Transport):
    """Records what is done to it."""

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


def paused_for(periods, disconnected_at, resume_at=None, stop_at=None):
    """The actions on a transport whose reading is paused for so many periods of checks."""
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


@test("a client that disconnects in the period {period} is noticed at that period's end")
def _(period=each(1, 2, 5)):
    actions, at = paused_for(10, period - 0.5)
    assert actions == ["pause", "abort"] and abs(at - period * DISCONNECT_CHECK_S) < 0.001


@test("nothing is looked at once reading goes on, or the watch has been stopped")
def _():
    assert paused_for(10, 2.5, resume_at=1.5) == (["pause", "resume"], None)
    assert paused_for(10, 2.5, stop_at=1.5) == (["pause"], None)
