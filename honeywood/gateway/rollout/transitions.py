"""Changes of a rollout's record: orders by operators and steps by controllers, as pure functions.

A rollout's state changes only from active to done or reverted; a new order starts a new rollout. An order
may arrive several times, and a step may come from a controller that knows only an old revision. Copies of an
order and outdated steps change nothing.
"""

from __future__ import annotations

from dataclasses import replace

from honeywood.gateway.rollout.record import (
    PreviousOrder,
    Rollout,
    RolloutStage,
    RolloutState,
    decode,
    encode,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

MAX_RETAINED = 16  # previous orders, and as many reverted versions, that a record keeps
DUPLICATE_WINDOW_S = 6.0  # seconds after an order in which copies of it may arrive


def update_stored(
    stored: dict[str, Any] | None, update: Callable[[Rollout | None], Rollout | None]
) -> dict[str, Any] | None:
    """Return the stored form after `update`, or the same object if `update` changes nothing."""
    before = None if stored is None else decode(stored)
    after = update(before)
    return stored if after is before or after is None else encode(after)


def was_reverted(current: Rollout | None, version: str) -> bool:
    """Return whether a version was reverted and has not been ordered since."""
    if current is None:
        return False
    if version in current.reverted_versions:
        return True
    return version == current.version and current.state is RolloutState.REVERTED


def start_rollout(
    current: Rollout | None,
    service: str,
    version: str,
    duration_s: float,
    since_change_s: float = 0.0,
    duplicate_window_s: float = DUPLICATE_WINDOW_S,
    only_version: bool = False,
) -> Rollout:
    """Return the rollout after an order to replace all other versions by `version` in `duration_s` seconds.

    Returns `current` if the order is a copy of an accepted one. `since_change_s` is the time since the last
    change of `current`. `only_version` says that no other version is in service: there is nothing to compare
    with or to revert to, so the rollout is done immediately.
    """
    state = RolloutState.DONE if only_version else RolloutState.ACTIVE
    stage = RolloutStage.FULL if only_version else RolloutStage.TRIAL
    if current is None:
        return Rollout(service, version, duration_s, state, stage)
    if _is_duplicate(current, version, duration_s, since_change_s, duplicate_window_s):
        return current
    revision = current.revision + 1
    return Rollout(
        service,
        version,
        duration_s,
        state,
        stage,
        revision=revision,
        order_revision=revision,
        previous_orders=_retained_orders(current, since_change_s, duplicate_window_s),
        reverted_versions=_retained_reverts(current, version),
    )


def _is_duplicate(
    current: Rollout, version: str, duration_s: float, since_change_s: float, duplicate_window_s: float
) -> bool:
    """Return whether an order is a copy of the current order or of a recent previous one."""
    if version == current.version:
        if current.state is not RolloutState.REVERTED:
            return True
        age_s = current.elapsed_s + since_change_s
        return duration_s == current.duration_s and age_s <= duplicate_window_s
    return any(
        order.age_s + since_change_s <= duplicate_window_s
        and (version, duration_s) == (order.version, order.duration_s)
        for order in current.previous_orders
    )


def _retained_orders(
    current: Rollout, since_change_s: float, duplicate_window_s: float
) -> tuple[PreviousOrder, ...]:
    """Return the orders whose copies may still arrive once `current` has been replaced."""
    replaced = PreviousOrder(current.version, current.duration_s, current.elapsed_s + since_change_s)
    aged = _aged(current.previous_orders, since_change_s)
    recent = (order for order in aged if order.age_s <= duplicate_window_s)
    return (*recent, replaced)[-MAX_RETAINED:]


def _retained_reverts(current: Rollout, version: str) -> tuple[str, ...]:
    """Return the reverted versions once `version` has been ordered."""
    reverted = current.reverted_versions
    if current.state is RolloutState.REVERTED:
        reverted = (*reverted, current.version)
    return tuple(candidate for candidate in reverted if candidate != version)[-MAX_RETAINED:]


def advance(
    current: Rollout | None,
    version: str,
    revision: int,
    since_change_s: float = 0.0,
    state: RolloutState | None = None,
    stage: RolloutStage | None = None,
) -> Rollout | None:
    """Return the rollout after a step that was decided on `revision`, known for `since_change_s` seconds.

    Returns `current` if it is another revision, is of another version or has ended.
    """
    if current is None or (current.version, current.revision) != (version, revision) or not current.active:
        return current
    return replace(
        current,
        state=state or current.state,
        stage=stage or current.stage,
        elapsed_s=current.elapsed_s + since_change_s,
        revision=revision + 1,
        previous_orders=_aged(current.previous_orders, since_change_s),
    )


def _aged(orders: tuple[PreviousOrder, ...], seconds: float) -> tuple[PreviousOrder, ...]:
    return tuple(replace(order, age_s=order.age_s + seconds) for order in orders)
