"""Which proxies' counts stay on the store though their proxy has ended: those that a rollout still needs."""

from __future__ import annotations

from honeywood.gateway.rollout.record import RolloutState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.dissemination.store import Store

COUNT_PREFIX = "count/"  # of the keys of proxies' counts
ROLLOUT_PREFIX = "rollout/"  # of the keys of rollouts' records


def is_count_needed(store: Store, key: str, value: Mapping[str, Mapping[str, list[float]]]) -> bool:
    """Return whether a record holds counts of an active rollout, or of one that is not known here yet.

    The revisions of a rollout's record, `n` and `order`, only rise: counts that are not needed any more never
    are again.
    """
    if not key.startswith(COUNT_PREFIX):
        return False
    revisions = {service: revision for service, (revision, _) in value["known"].items()}
    return any(
        _is_needed_by(store.get(ROLLOUT_PREFIX + service), revision)
        for service, revision in revisions.items()
    )


def _is_needed_by(rollout: Mapping[str, str | int] | None, revision: float) -> bool:
    """Return whether a rollout's stored record needs counts that were taken in `revision` of it."""
    if rollout is None or rollout["n"] < revision:
        return True
    return rollout["state"] == RolloutState.ACTIVE and revision >= rollout["order"]
