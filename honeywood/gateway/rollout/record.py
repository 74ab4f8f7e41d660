"""A rollout as the register keeps it, changed only from active to done or to reverted. Pure.

`revision` rises with each change, so that news of it win by it; `ordered_at` is the revision of its order,
and counts from before it say nothing. `held_s` is for how many seconds the order had been held at the last
change; whoever looks adds for how long it has known that revision (`since_s`, by a steady clock), so no
clock's time of day is in it, and whoever came later sees less, never more.

Stored and told as {"svc", "to_ver", "over_s", "state", "stage", "lasted", "n", "order", "past", "back"}.
"""

from dataclasses import dataclass, replace

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidMessage

ACTIVE, DONE, REVERTED = "active", "done", "reverted"
TRIAL, WIDE, FULL = "trial", "wide", "full"
STATES, STAGES = (ACTIVE, DONE, REVERTED), (TRIAL, WIDE, FULL)
REMEMBERED = 16  # orders, and versions that were sent back
STEP = "rollout"


@dataclass(frozen=True, slots=True)
class EarlierOrder:
    """An order that another has followed; `age_s` since it was given, at the last change."""

    version: str
    over_s: float
    age_s: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """The order in force for a service, and what has come of it. `back` are the versions that were sent back
    and not ordered since."""

    service: str
    version: str
    over_s: float
    state: str = ACTIVE
    stage: str = TRIAL
    held_s: float = 0.0
    revision: int = 1
    ordered_at: int = 1
    earlier: tuple[EarlierOrder, ...] = ()
    back: tuple[str, ...] = ()

    @property
    def active(self):
        """Whether it has not ended."""
        return self.state == ACTIVE


def encode(rollout):
    """The stored form."""
    return {
        "svc": rollout.service,
        "to_ver": rollout.version,
        "over_s": rollout.over_s,
        "state": rollout.state,
        "stage": rollout.stage,
        "lasted": rollout.held_s,
        "n": rollout.revision,
        "order": rollout.ordered_at,
        "past": [[one.version, one.over_s, one.age_s] for one in rollout.earlier],
        "back": list(rollout.back),
    }


def decode(value, peer=""):
    """The Rollout of a stored form; errors.InvalidMessage names the field and the peer that told it."""
    if not isinstance(value, dict):
        raise InvalidMessage(STEP, f"must be a table, not {type(value).__name__}", peer)
    past, back = (need(value, key, list, STEP, peer=peer) for key in ("past", "back"))
    return Rollout(
        service=need(value, "svc", str, STEP, peer=peer),
        version=need(value, "to_ver", str, STEP, peer=peer),
        over_s=need(value, "over_s", float, STEP, least=0, peer=peer),
        state=_one_of(value, "state", STATES, peer),
        stage=_one_of(value, "stage", STAGES, peer),
        held_s=need(value, "lasted", float, STEP, peer=peer),
        revision=need(value, "n", int, STEP, least=1, peer=peer),
        ordered_at=need(value, "order", int, STEP, least=1, peer=peer),
        earlier=tuple(_earlier(one, peer) for one in past),
        back=tuple(back),
    )


def _one_of(value, key, known, peer):
    found = need(value, key, str, STEP, peer=peer)
    if found not in known:
        raise InvalidMessage(STEP, f"{key} {found!r} is not known", peer)
    return found


def _earlier(value, peer):
    if len(value) != 3:
        raise InvalidMessage(STEP, f"past has an order of {len(value)} items, not 3", peer)
    return EarlierOrder(*value)


def rewritten(value, change):
    """The stored form after `change`, a function of the Rollout or None; the same where nothing changes."""
    held = None if value is None else decode(value)
    after = change(held)
    return value if after is held else encode(after)


def sent_back(held, version):
    """Whether a version was sent back, and not ordered since, by the rollout held or None."""
    if held is None:
        return False
    return version in held.back or version == held.version and held.state == REVERTED


def start(held, service, version, over_s, since_s=0.0, again_s=6.0, alone=False):
    """The rollout after an order, given the one held or None; the same where the order changes nothing.
    `again_s` is for how long the same order may arrive once more. A version that is `alone` in service has
    nothing to be compared with or to be taken back to: its order is done at once."""
    state, stage = (DONE, FULL) if alone else (ACTIVE, TRIAL)
    if held is None:
        return Rollout(service, version, over_s, state, stage)
    if _known(held, version, over_s, since_s, again_s):
        return held
    last = EarlierOrder(held.version, held.over_s, held.held_s + since_s)
    earlier = (*(one for one in _aged(held.earlier, since_s) if one.age_s <= again_s), last)
    back = (*held.back, *([held.version] if held.state == REVERTED else []))
    revision = held.revision + 1
    return Rollout(
        service,
        version,
        over_s,
        state,
        stage,
        revision=revision,
        ordered_at=revision,
        earlier=earlier[-REMEMBERED:],
        back=tuple(one for one in back if one != version)[-REMEMBERED:],
    )


def _known(held, version, over_s, since_s, again_s):
    """Whether an order is in force, or the late copy of one that was."""
    if version == held.version:
        copy = over_s == held.over_s and held.held_s + since_s <= again_s
        return held.state != REVERTED or copy
    recent = (one for one in held.earlier if one.age_s + since_s <= again_s)
    return any((version, over_s) == (one.version, one.over_s) for one in recent)


def advance(held, version, revision, since_s=0.0, state=None, stage=None):
    """The rollout after a step taken from its `revision`, known for `since_s`: whoever comes late, or after
    an end, changes nothing."""
    if held is None or (held.version, held.revision) != (version, revision) or not held.active:
        return held
    return replace(
        held,
        state=state or held.state,
        stage=stage or held.stage,
        held_s=held.held_s + since_s,
        revision=revision + 1,
        earlier=_aged(held.earlier, since_s),
    )


def _aged(earlier, since_s):
    return tuple(replace(one, age_s=one.age_s + since_s) for one in earlier)
