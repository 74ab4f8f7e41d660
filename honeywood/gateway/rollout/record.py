"""The durable record of a service's rollout, and the codec of its stored form.

The register stores one record per service, as {"svc", "to_ver", "over_s", "state", "stage", "lasted", "n",
"order", "past", "back"}. No wall-clock time is stored: `elapsed_s` is the time from the order to the last
change, and a reader adds the time for which it has known that revision, by its own monotonic clock. A reader
that received the revision later therefore computes a shorter elapsed time, never a longer one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidMessage

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

OPERATION = "rollout"  # names the operation in errors
PREVIOUS_ORDER_ITEMS = 3  # in the stored form of a previous order


class RolloutState(StrEnum):
    """Whether a rollout is in progress, or how it ended; the values are stored and shown to operators."""

    ACTIVE = "active"
    DONE = "done"
    REVERTED = "reverted"


class RolloutStage(StrEnum):
    """How much traffic the version of an active rollout gets; the values are stored.

    TRIAL: idempotent requests, within a cap for each route. WIDE: all traffic, within the exposure allowance.
    FULL: all traffic.
    """

    TRIAL = "trial"
    WIDE = "wide"
    FULL = "full"


# Python 3.11 looks up enum members slowly, and `Rollout.active` is read for each attempt of a request.
_ACTIVE = RolloutState.ACTIVE


@dataclass(frozen=True, slots=True)
class PreviousOrder:
    """An order that was replaced by a later one; `age_s` is its age at the record's last change."""

    version: str
    duration_s: float
    age_s: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """The current order for a service and its progress.

    `revision` increases by one with each change and orders the copies of the record. `order_revision` is the
    revision at which the order was made: outcomes reported for earlier revisions must not count for it.
    `reverted_versions` were reverted and have not been ordered since.
    """

    service: str
    version: str
    duration_s: float
    state: RolloutState = RolloutState.ACTIVE
    stage: RolloutStage = RolloutStage.TRIAL
    elapsed_s: float = 0.0
    revision: int = 1
    order_revision: int = 1
    previous_orders: tuple[PreviousOrder, ...] = ()
    reverted_versions: tuple[str, ...] = ()

    @property
    def active(self) -> bool:
        """Whether the rollout has not ended."""
        return self.state is _ACTIVE


def encode(rollout: Rollout) -> dict[str, Any]:
    """Return the stored form of a rollout."""
    return {
        "svc": rollout.service,
        "to_ver": rollout.version,
        "over_s": rollout.duration_s,
        "state": rollout.state.value,
        "stage": rollout.stage.value,
        "lasted": rollout.elapsed_s,
        "n": rollout.revision,
        "order": rollout.order_revision,
        "past": [[order.version, order.duration_s, order.age_s] for order in rollout.previous_orders],
        "back": list(rollout.reverted_versions),
    }


def decode(value: object, peer: str = "") -> Rollout:
    """Return the rollout of a stored form that was received from `peer`.

    Raises:
        InvalidMessage: A field is missing or invalid; the error names it.
    """
    if not isinstance(value, dict):
        raise InvalidMessage(OPERATION, f"must be a table, not {type(value).__name__}", peer)
    previous_orders, reverted_versions = (
        need(value, key, list, OPERATION, peer=peer) for key in ("past", "back")
    )
    return Rollout(
        service=need(value, "svc", str, OPERATION, peer=peer),
        version=need(value, "to_ver", str, OPERATION, peer=peer),
        duration_s=need(value, "over_s", float, OPERATION, least=0, peer=peer),
        state=_decode_state(need(value, "state", str, OPERATION, peer=peer), peer),
        stage=_decode_stage(need(value, "stage", str, OPERATION, peer=peer), peer),
        elapsed_s=need(value, "lasted", float, OPERATION, peer=peer),
        revision=need(value, "n", int, OPERATION, least=1, peer=peer),
        order_revision=need(value, "order", int, OPERATION, least=1, peer=peer),
        previous_orders=tuple(_decode_previous_order(order, peer) for order in previous_orders),
        reverted_versions=tuple(reverted_versions),
    )


def _decode_state(text: str, peer: str) -> RolloutState:
    try:
        return RolloutState(text)
    except ValueError:
        raise InvalidMessage(OPERATION, f"state {text!r} is not known", peer) from None


def _decode_stage(text: str, peer: str) -> RolloutStage:
    try:
        return RolloutStage(text)
    except ValueError:
        raise InvalidMessage(OPERATION, f"stage {text!r} is not known", peer) from None


def _decode_previous_order(value: list[Any], peer: str) -> PreviousOrder:
    if len(value) != PREVIOUS_ORDER_ITEMS:
        reason = f"past has an order of {len(value)} items, not {PREVIOUS_ORDER_ITEMS}"
        raise InvalidMessage(OPERATION, reason, peer)
    version, duration_s, age_s = value
    return PreviousOrder(version, duration_s, age_s)
