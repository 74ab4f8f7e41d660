"""Changes of a rollout's record by orders and by steps."""

from rollout_fleet import rollout_after
from ward import each, test

from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.record import RolloutStage, RolloutState

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL
V2, V3 = ("v2", 14.0), ("v3", 14.0)


@test("a repeated order, a step on an older revision and a step after the end change nothing")
def _():
    first = transitions.start_rollout(None, "s", "v2", 14.0, 0.0)
    assert transitions.start_rollout(first, "s", "v2", 14.0, 9.0) is first
    full = transitions.advance(first, "v2", 1, stage=FULL)
    assert transitions.advance(full, "v2", 1, state=REVERTED) is full
    done = transitions.advance(full, "v2", 2, state=DONE)
    assert transitions.advance(done, "v2", 3, state=REVERTED) is done
    assert transitions.start_rollout(done, "s", "v3", 14.0, 20.0).revision == 4


@test("{case}: {version} is {state} at revision {revision}")
def _(
    case=each(
        "the same order again, while active",
        "the same order again, when done",
        "a copy of the order, reverted meanwhile",
        "a new order for the version that was reverted",
        "an order with another duration for the reverted version",
        "a late copy of the previous order",
        "a new order for an earlier version",
        "a copy of the order before the last",
        "an order for a version without an earlier order",
    ),
    steps=each(
        ((0, V2), (3, V2)),
        ((0, V2), (9, "done"), (20, V2)),
        ((0, V2), (3, "reverted"), (2, V2)),
        ((0, V2), (3, "reverted"), (20, V2)),
        ((0, V2), (3, "reverted"), (1, ("v2", 20.0))),
        ((0, V2), (2, V3), (3, V2)),
        ((0, V2), (2, V3), (9, "done"), (1, V2)),
        ((0, V2), (1, V3), (1, ("v4", 14.0)), (2, V2)),
        ((0, V2), (9, "reverted"), (1, V3)),
    ),
    version=each("v2", "v2", "v2", "v2", "v2", "v3", "v2", "v4", "v3"),
    state=each("active", "done", "reverted", "active", "active", "active", "active", "active", "active"),
    revision=each(1, 2, 2, 3, 3, 2, 4, 3, 3),
):
    # When orders were compared with the current one only, an order for the reverted version was acknowledged
    # and had no effect, and a late copy of the order for v2 replaced the order for v3.
    rollout = rollout_after(*steps)
    assert (rollout.version, rollout.state, rollout.revision) == (version, state, revision)


@test("after a hundred orders in a row the record is bounded, and recent copies are still recognized")
def _():
    rollout = None
    for n in range(100):
        rollout = transitions.start_rollout(rollout, "s", f"v{n}", 14.0, 0.1)
        assert len(rollout.previous_orders) <= transitions.MAX_RETAINED
        if n:
            assert transitions.start_rollout(rollout, "s", f"v{n - 1}", 14.0, 0.1) is rollout
