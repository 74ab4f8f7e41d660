"""Decides when a member of the register is replaced, and by which controller. Pure: times are passed in."""

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
"""A controller that has been in contact for longer than this factor times `short_s` counts as stable."""

SILENT = "silent"
"""The reason for replacing a member that is out of contact, in contrast to one with a faulty disk."""


class DiskState(StrEnum):
    """The disk state that a controller reports; the values are sent on the wire."""

    WORKS = "works"
    REFUSES = "refuses writes"
    """The latest write failed or hangs."""
    LOST = "lost"
    """The disk was lost and has not been rebuilt yet."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a member knows of another controller; times are in seconds of the member's monotonic clock."""

    contact_at: float
    """When the controller was last in contact."""
    usable_at: float
    """When the controller was last in contact and reported that its disk works."""
    contact_since: float = inf
    """When the current period of contact began."""
    disk: DiskState = DiskState.WORKS
    """The disk state in its latest report."""


@dataclass(frozen=True, slots=True)
class Replacement:
    """A member to replace, the controller that takes its place, and the reason."""

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
    """Return the replacement that the member `local_ip`, whose own disk works, should propose.

    A member that is silent, or whose disk refuses all writes or stays lost, is replaced after `long_s`
    seconds. It is replaced after `short_s` seconds by a spare whose contact began during that time and is
    stable. The contact must be stable because all controllers come back after a network partition, but not at
    the same moment.

    Returns None while this member and the other members with working disks and stable contact are not a
    majority. The spare's disk may still be lost, since it may need this membership change to be rebuilt (see
    membership_rules.join_quorum).
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
            spare_is_newer = peers[spare].contact_since > peer.usable_at
            if now - peer.usable_at > (short_s if spare_is_newer else long_s):
                return Replacement(ip, spare, _reason(peer))
    return None


def _may_propose(
    configuration: MembershipConfiguration,
    local_ip: str,
    peers: Mapping[str, PeerState],
    now: float,
    short_s: float,
) -> bool:
    """Return whether this member and the others with working disks and stable contact are a majority."""
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
