"""Whose disks count: a chain of configurations {"epoch", "members", "next"}, each agreed by the one before.
Pure.

Each step of the register carries its epoch, and a disk takes steps of its own epoch alone. Once the members
of an epoch have agreed on the next configuration, a majority of them seal theirs: they take no more steps of
it, and tell what they hold. Who has heard that of a majority holds all that was agreed there, keeps all that
was promised there, and so enters the next epoch.

Epoch START has the seeds of the first start as its members and agrees on nothing but the members of epoch 1.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from honeywood.gateway.register.proposal import current

BOOTSTRAP_EPOCH = 0
STAYED = 0.75  # times `soon` that a newcomer is in contact before it takes a place
SILENT = "silent"  # why a member is replaced, where it isn't for its disk
SUCCESSOR_KEY = "successor"  # the register with which an epoch agrees on the next one: {"epoch", "members"}


def majority(here):
    """How many members of a configuration agree on something for good."""
    return len(here["members"]) // 2 + 1


def accepts_epoch(here, ip, epoch):
    """Whether the disk of `ip` takes a step of `epoch`."""
    return here["epoch"] == epoch and here["next"] is None and ip in here["members"]


def seal(here, following):
    """The disk's configuration once the next one is agreed; None where nothing changes."""
    if here["next"] is None and here["epoch"] + 1 == following["epoch"]:
        return {**here, "next": following}
    return None


def enter(following):
    """The configuration of a disk that enters the next epoch."""
    return {"epoch": following["epoch"], "members": following["members"], "next": None}


def transition_quorum(here, pulls):
    """Of {ip: pull} those of a majority of this epoch's members, all sealed or gone on to the next epoch;
    empty while there are too few. For a disk in this epoch: it never was in the next (see `joins`)."""
    after = {
        ip: pull
        for ip, pull in pulls.items()
        if ip in here["members"]
        and (pull.members["epoch"] == here["epoch"] + 1 or _leaves(pull, here["epoch"]))
    }
    counted = current(after)
    if len(counted) >= majority(here):
        return counted
    # a member of the next epoch that is in it has heard a majority of this one already, and holds what was
    # agreed since: this disk, which never took a step there, may take up what that one holds
    inside = [
        pull
        for ip, pull in pulls.items()
        if pull.members["epoch"] == here["epoch"] + 1 and ip in pull.members["members"]
    ]
    told = current(pulls)
    return [pull for pull in inside if any(pull is one for one in told)]


def _leaves(pull, epoch):
    return pull.members["epoch"] == epoch and pull.members["next"] is not None


def _followed(pull):
    """Whether a next configuration may have been agreed, as far as the disk told of it."""
    accepted = (pull.rows.get(SUCCESSOR_KEY) or (None, None, None))[2]
    epoch = pull.members["epoch"]
    return _leaves(pull, epoch) or accepted is not None and accepted["epoch"] > epoch


def join_quorum(ip, pulls, lost):
    """For a disk that was lost, is new, or stayed behind: the newest configuration that is told, and out of
    {ip: pull} those of its members, but the disk itself, that are in it: a majority of it, or none.

    A `lost` disk takes up no epoch that may be over: it may have been in the next one, and what it agreed to
    there would be missing when it entered that with what the members of this one tell."""
    here = max((pull.members for pull in pulls.values()), key=lambda one: one["epoch"], default=None)
    if here is None or here["epoch"] == BOOTSTRAP_EPOCH:
        return None, []
    inside = {
        one: pull
        for one, pull in pulls.items()
        if one != ip and one in here["members"] and pull.members["epoch"] == here["epoch"]
    }
    counted = current(inside)
    if len(counted) < majority(here) or lost and any(_followed(pull) for pull in counted):
        return None, []
    following = next((pull.members["next"] for pull in counted if pull.members["next"]), None)
    return {**here, "next": following}, counted


class DiskState(StrEnum):
    """What a controller tells of its disk."""

    WORKS = "works"
    REFUSES = "refuses writes"  # all of them, by the latest one, or it hangs
    LOST = "lost"  # and not rebuilt from the others' yet


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a member knows of another controller; times are in seconds of its own steady clock."""

    contact_at: float  # when it was last in contact
    usable_at: float  # when it was last in contact and told that its disk works
    contact_since: float = inf  # when the present contact began
    disk: DiskState = DiskState.WORKS  # by the latest that it told


@dataclass(frozen=True, slots=True)
class Replacement:
    """A member, the controller to take its place, and why."""

    lost: str
    spare: str
    why: str


def replacement(here, local, peers, now, soon, late):
    """The Replacement that the member `local` is to propose, whose own disk works; or None. `peers` are the
    PeerStates by address.

    A member that is silent, or whose disk refuses all writes or stays lost, is replaced after `late` seconds
    of that, after `soon` by one that came during it and has stayed: where a cut has ended, all come back, but
    not at one moment. Never while too few others have been in contact for so long themselves, with disks
    that work. The one that comes may have a lost disk still: it may be waiting for this very change (see
    `joins`)."""
    others = [ip for ip in here["members"] if ip != local]
    unusable = [ip for ip in others if now - peers[ip].usable_at > soon]
    healthy = [ip for ip in others if ip not in unusable and _stayed(peers[ip], now, soon)]
    healthy = [ip for ip in healthy if peers[ip].disk is DiskState.WORKS]
    if here["next"] or local not in here["members"] or len(healthy) + 1 < majority(here):
        return None
    spares = [ip for ip in sorted(peers) if ip not in here["members"] and _fit(peers[ip], now, soon)]
    for ip in unusable:
        lost = peers[ip]
        for spare in spares:
            came_since = peers[spare].contact_since > lost.usable_at
            if now - lost.usable_at > (soon if came_since else late):
                return Replacement(ip, spare, SILENT if lost.disk is DiskState.WORKS else lost.disk.value)
    return None


def _stayed(peer, now, soon):
    """Whether a controller has been in contact for long enough."""
    return now - peer.contact_since > STAYED * soon


def _fit(peer, now, soon):
    """Whether a controller may take a place."""
    fresh = now - peer.contact_at < STAYED * soon
    return fresh and _stayed(peer, now, soon) and peer.disk is not DiskState.REFUSES
