"""When configurations that follow each other quickly take effect."""

import asyncio

from ward import each, test

from honeywood.gateway.proxy.activation_schedule import ActivationSchedule
from honeywood.lab.emulator.world import Loop

APPLY_S = 3.0


class Scene:
    """A proxy that receives versions, each of which takes `cost_s` seconds to activate."""

    def __init__(self, cost_s):
        self.loop, self.activated, self.busy_s = Loop(), [], 0.0
        self.cost_s = cost_s
        asyncio.set_event_loop(self.loop)
        self.schedule = ActivationSchedule(self.clock, self.activate, APPLY_S)

    def clock(self):
        return self.loop.time() + self.busy_s

    def activate(self, packed):
        self.busy_s += self.cost_s
        self.activated.append((round(self.loop.time(), 3), packed))

    def receive(self, count, gap_s):
        """Receives versions at an interval, then waits; returns what was activated when."""

        async def play():
            for number in range(count):
                self.schedule.submit(f"v{number}")
                await asyncio.sleep(gap_s)
            await asyncio.sleep(APPLY_S)

        try:
            self.loop.run_until_complete(play())
        finally:
            self.loop.close()
        return self.activated


@test("versions that are quick to activate take effect at once")
def _():
    assert [packed for _, packed in Scene(cost_s=0.0).receive(5, 0.01)] == ["v0", "v1", "v2", "v3", "v4"]


@test("while versions follow quickly, activations of {cost_s} s take a tenth of the time, and none is late")
def _(cost_s=each(0.01, 0.02, 0.05)):
    # Reading each of 28 versions kept 195 proxies busy for longer than the day may take.
    count, gap_s = 60, 0.1
    activated = Scene(cost_s).receive(count, gap_s)
    assert len(activated) * cost_s <= 0.1 * count * gap_s + 2 * cost_s
    assert activated[0] == (0.0, "v0") and activated[-1][1] == f"v{count - 1}"


@test("a version takes effect within a quarter of apply_s, however long an activation takes")
def _():
    activated = Scene(cost_s=0.5).receive(40, 0.1)
    received_at = {f"v{number}": 0.1 * number for number in range(40)}
    for number in range(40):
        in_force_at = next(at for at, packed in activated if int(packed[1:]) >= number)
        assert in_force_at - received_at[f"v{number}"] <= 0.25 * APPLY_S + 0.001
    assert activated[-1][1] == "v39"


@test("nothing is pending once the newest version has taken effect")
def _():
    scene = Scene(cost_s=0.05)
    scene.receive(3, 0.1)
    assert not scene.schedule.is_pending and scene.activated[-1][1] == "v2"
