"""Changes of a rollout's record by orders and steps."""

from rollout_fleet import played
from ward import each, test

from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.record import RolloutStage, RolloutState

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL
V2, V3 = ("v2", 14.0), ("v3", 14.0)


@test("an order twice changes nothing; steps from an older stage, or after the end, change nothing")
def _():
    first = transitions.start_rollout(None, "s", "v2", 14.0, 0.0)
    assert transitions.start_rollout(first, "s", "v2", 14.0, 9.0) is first
    full = transitions.advance(first, "v2", 1, stage=FULL)
    assert transitions.advance(full, "v2", 1, state=REVERTED) is full
    done = transitions.advance(full, "v2", 2, state=DONE)
    assert transitions.advance(done, "v2", 3, state=REVERTED) is done
    assert transitions.start_rollout(done, "s", "v3", 14.0, 20.0).revision == 4


@test("{what}: {to_ver} {state} after {n} changes")
def _(
    what=each(
        "the same order again, under way",
        "again, done",
        "a copy, reverted meanwhile",
        "a new order for the version that was reverted",
        "another order for it, soon after",
        "a late copy of an order that another followed",
        "a new order for an earlier version",
        "a copy of the order before the last",
        "an order that is new",
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
    to_ver=each("v2", "v2", "v2", "v2", "v2", "v3", "v2", "v4", "v3"),
    state=each("active", "done", "reverted", "active", "active", "active", "active", "active", "active"),
    n=each(1, 2, 2, 3, 3, 2, 4, 3, 3),
):
    # Only the record held was known: an order for the version that was reverted was acknowledged and nothing
    # came of it, and a late second copy of v2 led back to it after v3 was ordered.
    held = played(*steps)
    assert (held.version, held.state, held.revision) == (to_ver, state, n)


@test("a hundred orders in a row leave a bounded record, and each copy within the time is known")
def _():
    held = None
    for n in range(100):
        held = transitions.start_rollout(held, "s", f"v{n}", 14.0, 0.1)
        assert len(held.previous_orders) <= transitions.MAX_RETAINED
        if n:
            assert transitions.start_rollout(held, "s", f"v{n - 1}", 14.0, 0.1) is held
