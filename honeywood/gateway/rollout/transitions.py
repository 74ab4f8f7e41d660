"""Changes of a rollout's record: orders by operators, and steps by controllers. Pure functions.

A rollout changes only from active to done or to reverted; another order begins it anew. An order may arrive
several times, and steps may come from controllers that know an old revision: both change nothing.
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

MAX_REMEMBERED = 16  # previous orders, and reverted versions, that a record keeps
DUPLICATE_WINDOW_S = 6.0  # seconds in which copies of an order may arrive


def update_stored(
    stored: dict[str, Any] | None, update: Callable[[Rollout | None], Rollout | None]
) -> dict[str, Any] | None:
    """Return the stored form after `update`; the same object where `update` changes nothing."""
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
    """Return the rollout after an order for `version` to replace the others within `duration_s` seconds.

    It is `current` where the order is a copy of one that was taken before. `since_change_s` is the time since
    the last change of `current`. With `only_version` no other version is in service: there is nothing to
    compare with or to revert to, and the order is done at once.
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
        previous_orders=_remembered_orders(current, since_change_s, duplicate_window_s),
        reverted_versions=_remembered_reverts(current, version),
    )


def _is_duplicate(
    current: Rollout, version: str, duration_s: float, since_change_s: float, duplicate_window_s: float
) -> bool:
    """Return whether an order is the current one, or a late copy of a previous one."""
    if version == current.version:
        if current.state is not RolloutState.REVERTED:
            return True
        age_s = current.elapsed_s + since_change_s
        return duration_s == current.duration_s and age_s <= duplicate_window_s
    return any(
        one.age_s + since_change_s <= duplicate_window_s
        and (version, duration_s) == (one.version, one.duration_s)
        for one in current.previous_orders
    )


def _remembered_orders(
    current: Rollout, since_change_s: float, duplicate_window_s: float
) -> tuple[PreviousOrder, ...]:
    """Return the orders whose copies may still arrive once `current` has been replaced."""
    replaced = PreviousOrder(current.version, current.duration_s, current.elapsed_s + since_change_s)
    aged = _aged(current.previous_orders, since_change_s)
    recent = (one for one in aged if one.age_s <= duplicate_window_s)
    return (*recent, replaced)[-MAX_REMEMBERED:]


def _remembered_reverts(current: Rollout, version: str) -> tuple[str, ...]:
    """Return the reverted versions once `version` has been ordered."""
    reverted = current.reverted_versions
    if current.state is RolloutState.REVERTED:
        reverted = (*reverted, current.version)
    return tuple(one for one in reverted if one != version)[-MAX_REMEMBERED:]


def advance(
    current: Rollout | None,
    version: str,
    revision: int,
    since_change_s: float = 0.0,
    state: RolloutState | None = None,
    stage: RolloutStage | None = None,
) -> Rollout | None:
    """Return the rollout after a step that was decided on `revision`, known for `since_change_s` seconds.

    It is `current` where that is another revision, another version's or has ended.
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
    return tuple(replace(one, age_s=one.age_s + seconds) for one in orders)
