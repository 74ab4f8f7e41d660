"""The number of proxies that a proxy assumes to share quotas."""

from ward import test

from honeywood.gateway.proxy.fleet_size import DECREASE_DELAY_S, INITIAL_COUNT, REPORT_VALID_S, FleetSize


class Clock:
    """A clock that the test sets, in seconds."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@test("INITIAL_COUNT proxies are assumed for a while after the start, even if controllers report fewer")
def _():
    clock = Clock()
    fleet = FleetSize(clock)
    assert fleet.count() == INITIAL_COUNT
    fleet.report("a", 3)
    assert fleet.count() == INITIAL_COUNT
    clock.now += DECREASE_DELAY_S
    assert fleet.count() == 3


@test("an increase takes effect at once, a decrease after its delay")
def _():
    clock = Clock()
    fleet = FleetSize(clock)
    fleet.report("a", 3)
    clock.now += DECREASE_DELAY_S
    fleet.report("a", 5)
    assert fleet.count() == 5
    fleet.report("a", 2)
    assert fleet.count() == 5
    clock.now += DECREASE_DELAY_S
    assert fleet.count() == 2


@test("the highest of the controllers' recent reports is used")
def _():
    clock = Clock()
    fleet = FleetSize(clock)
    fleet.report("a", 7)
    clock.now += REPORT_VALID_S / 2
    fleet.report("b", 1)
    assert fleet.reported_count == 7
    clock.now += REPORT_VALID_S / 2
    fleet.report("b", 1)
    assert fleet.reported_count == 1
