"""Decides which counts of ended proxies stay in the store: those that a rollout still needs."""

from __future__ import annotations

from typing import cast

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.rollout.record import RolloutState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.controller.register_access import StoredValue
    from honeywood.gateway.dissemination.record import JsonValue
    from honeywood.gateway.dissemination.store import Store


def is_count_needed(store: Store, key: str, value: JsonValue) -> bool:
    """Return whether a record holds counts of an active rollout, or of one that is not known here yet.

    The revisions of a rollout and of its order only increase, so counts that are no longer needed are never
    needed again.
    """
    if not key.startswith(RecordKind.PROXY_COUNTS.prefix):
        return False
    known = cast("StoredValue", value)["known"]
    return any(
        _is_needed_by(cast("StoredValue | None", store.get(RecordKind.ROLLOUT.key(service))), revision)
        for service, (revision, _) in known.items()
    )


def _is_needed_by(stored_rollout: StoredValue | None, revision: int) -> bool:
    """Return whether a rollout, in its stored form, needs counts that were taken at its `revision`."""
    if stored_rollout is None or stored_rollout["n"] < revision:
        return True
    is_active = bool(stored_rollout["state"] == RolloutState.ACTIVE)
    return is_active and revision >= int(stored_rollout["order"])
