"""When a member of the register is replaced, and by which controller. Pure: times are passed in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from honeywood.gateway.register.membership_rules import majority

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.register.membership_configuration import MembershipConfiguration

STABLE_CONTACT_FACTOR = 0.75
"""Times `short_s`: for how long a controller must have been in contact to count as stable."""

SILENT = "silent"
"""The reason for which a member is replaced that isn't for its disk."""


class DiskState(StrEnum):
    """What a controller reports of its disk; the values are on the wire."""

    WORKS = "works"
    REFUSES = "refuses writes"
    """The latest write was refused, or it hangs."""
    LOST = "lost"
    """And not filled from the others yet."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a member knows of another controller; times are in seconds of its own steady clock."""

    contact_at: float
    """When it was last in contact."""
    usable_at: float
    """When it was last in contact and reported that its disk works."""
    contact_since: float = inf
    """When the present contact began."""
    disk: DiskState = DiskState.WORKS
    """By its latest report."""


@dataclass(frozen=True, slots=True)
class Replacement:
    """A member, the controller to take its place, and the reason."""

    member: str
    spare: str
    reason: str


def propose_replacement(
    configuration: MembershipConfiguration,
    local_ip: str,
    peers: Mapping[str, PeerState],
    now: float,
    short_s: float,
    long_s: float,
) -> Replacement | None:
    """Return the replacement that the member `local_ip`, whose own disk works, is to propose.

    A member that is silent, or whose disk refuses all writes or stays lost, is replaced after `long_s`
    seconds of that; after `short_s` by a spare whose contact began meanwhile and has lasted: when a network
    partition ends all come back, but not at one moment. None while too few others, with disks that work,
    have been in contact for so long themselves. The spare's disk may still be lost: it may be waiting for
    this very change (see membership_rules.join_quorum).
    """
    others = [ip for ip in configuration.members if ip != local_ip]
    unusable = [ip for ip in others if now - peers[ip].usable_at > short_s]
    if not _may_propose(configuration, local_ip, peers, now, short_s):
        return None
    spares = [
        ip
        for ip in sorted(peers)
        if ip not in configuration.members and _may_become_member(peers[ip], now, short_s)
    ]
    for ip in unusable:
        peer = peers[ip]
        for spare in spares:
            spare_came_since = peers[spare].contact_since > peer.usable_at
            if now - peer.usable_at > (short_s if spare_came_since else long_s):
                return Replacement(ip, spare, _reason(peer))
    return None


def _may_propose(
    configuration: MembershipConfiguration,
    local_ip: str,
    peers: Mapping[str, PeerState],
    now: float,
    short_s: float,
) -> bool:
    """Return whether this member and others that work and are stably in contact are a majority."""
    healthy = [
        ip
        for ip in configuration.members
        if ip != local_ip
        and now - peers[ip].usable_at <= short_s
        and _is_stable(peers[ip], now, short_s)
        and peers[ip].disk is DiskState.WORKS
    ]
    if configuration.successor is not None or local_ip not in configuration.members:
        return False
    return len(healthy) + 1 >= majority(configuration)


def _reason(peer: PeerState) -> str:
    return SILENT if peer.disk is DiskState.WORKS else peer.disk.value


def _is_stable(peer: PeerState, now: float, short_s: float) -> bool:
    return now - peer.contact_since > STABLE_CONTACT_FACTOR * short_s


def _may_become_member(peer: PeerState, now: float, short_s: float) -> bool:
    in_contact = now - peer.contact_at < STABLE_CONTACT_FACTOR * short_s
    return in_contact and _is_stable(peer, now, short_s) and peer.disk is not DiskState.REFUSES
