"""Decides when a member of the register is replaced, and by which controller. Pure: times are passed in.

A member that ends as planned hands its place over itself, without any wait, to one of `possible_successors`.
The others replace a member that they can't use for some time (`propose_replacement`). docs/design/control.md
states which pair of failures each wait guards against.
"""

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
"""A controller that has been in contact for longer than this factor times `contact_s` counts as stable."""

SILENT = "silent"
"""The reason for replacing a member that is out of contact, in contrast to one with a faulty disk."""


class DiskState(StrEnum):
    """The disk state that a controller reports; the values are sent on the wire."""

    WORKS = "works"
    REFUSES = "refuses writes"
    """The latest write failed or hangs."""
    LOST = "lost"
    """The disk was lost and has not been rebuilt yet."""
    LEAVING = "leaving"
    """The disk works, but its controller is ending as planned."""


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
    member_since: float = -inf
    """Since when the controller and the one that holds this state are members together."""


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
    contact_s: float,
    sync_s: float,
) -> Replacement | None:
    """Return the replacement that the member `local_ip`, whose own disk works, should propose.

    A member that is silent is replaced after `contact_s` seconds. One that is in contact, but whose disk
    refuses all writes or stays lost, is given `sync_s` more seconds, unless the contact with the spare began
    after the disk failed: the spare was then started to replace it.

    The spare must be in stable contact, because all controllers come back after a network partition, but not
    at the same moment.

    Returns None while this member and the other members with working disks and stable contact are not a
    majority. The spare's disk may still be lost, since it may need this membership change to be rebuilt (see
    membership_rules.join_quorum); a spare whose disk works is preferred.
    """
    if not _may_propose(configuration, local_ip, peers, now, contact_s):
        return None
    in_contact = possible_successors(configuration, peers, now, contact_s)
    spares = [ip for ip in in_contact if _is_stable(peers[ip], now, contact_s)]
    for ip in configuration.members:
        for spare in spares if ip != local_ip else ():
            if _is_overdue(peers[ip], peers[spare], now, contact_s, sync_s):
                return Replacement(ip, spare, _reason(peers[ip]))
    return None


def possible_successors(
    configuration: MembershipConfiguration, peers: Mapping[str, PeerState], now: float, contact_s: float
) -> list[str]:
    """Return the controllers in contact that may become members, those whose disks work first.

    The contact need not be stable: a member that hands its place over is certain to go.
    """
    spares = [
        ip
        for ip, peer in peers.items()
        if ip not in configuration.members
        and peer.disk not in (DiskState.REFUSES, DiskState.LEAVING)
        and peer.contact_since <= now
        and now - peer.contact_at < STABLE_CONTACT_FACTOR * contact_s
    ]
    return sorted(spares, key=lambda ip: (peers[ip].disk is not DiskState.WORKS, ip))


def _may_propose(
    configuration: MembershipConfiguration,
    local_ip: str,
    peers: Mapping[str, PeerState],
    now: float,
    contact_s: float,
) -> bool:
    """Return whether this member and the others with working disks and stable contact are a majority."""
    healthy = [
        ip
        for ip in configuration.members
        if ip != local_ip
        and now - peers[ip].usable_at <= contact_s
        and _is_stable(peers[ip], now, contact_s)
        and peers[ip].disk is DiskState.WORKS
    ]
    if configuration.successor is not None or local_ip not in configuration.members:
        return False
    return len(healthy) + 1 >= majority(configuration)


def _is_overdue(member: PeerState, spare: PeerState, now: float, contact_s: float, sync_s: float) -> bool:
    """Return whether a member has been unusable for so long that the spare takes its place.

    Two members, of which one is new, are given as much time to make contact with each other.
    """
    if now - max(member.contact_at, member.member_since) > contact_s:
        return True
    spare_is_newer = spare.contact_since > member.usable_at
    wait_s = contact_s if spare_is_newer else contact_s + sync_s
    return now - max(member.usable_at, member.member_since) > wait_s


def _reason(peer: PeerState) -> str:
    return SILENT if peer.disk is DiskState.WORKS else peer.disk.value


def _is_stable(peer: PeerState, now: float, contact_s: float) -> bool:
    return now - peer.contact_since > STABLE_CONTACT_FACTOR * contact_s
