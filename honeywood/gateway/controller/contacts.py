"""Tracks which other controllers are in contact, and which of them hold all changes of the local store.

Only evidence that cannot be a late duplicate counts. A response to a call of this controller proves contact
at the time the call was sent. A request of another controller echoes the stamp of the latest response that
this controller sent it (as TCP does with its timestamps, RFC 7323). It proves contact at the time that
response was sent, however late the request or a duplicate of it arrives.

This module reads no clock: callers pass times in seconds of this controller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from honeywood.gateway.register.replacement import DiskState, PeerState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from honeywood.gateway.dissemination.record import JsonValue

    Stamp = list[JsonValue]  # [incarnation, time of sending]; only its issuer reads it

CONTACT_TIMEOUT_S = 1.6  # seconds for which an answered call proves contact, counted from its sending
OBSERVER_TIMEOUT_S = 3.0  # seconds without contact after which a controller's proxy sightings are ignored


@dataclass(slots=True)
class PeerContact:
    """What this controller knows about one other controller; times are in seconds."""

    answered_at: float = -inf  # when the latest call that it answered was sent
    complete_at: float = -inf  # when the latest call was sent whose response omitted nothing
    echoed_at: float = -inf  # when the response was sent whose stamp it echoed last
    contact_since: float = inf  # when the first answered call of the current contact was sent
    usable_at: float = -inf  # when it was last in contact and its disk worked
    disk: DiskState = DiskState.WORKS  # as last reported
    acknowledged_revision: int = 0  # it holds all changes of the local store up to this revision
    latest_stamp: Stamp | None = None  # of its latest response; the next request echoes it

    @property
    def contact_at(self) -> float:
        """The time of the latest proof of contact."""
        return max(self.answered_at, self.echoed_at)

    def record_disk(self, at: float, disk: DiskState) -> None:
        """Record the state of its disk as of the time `at`."""
        if at >= self.contact_at:
            self.disk = disk
        if disk is DiskState.WORKS:
            self.usable_at = max(self.usable_at, at)


def decode_disk_state(reported: str | None) -> DiskState:
    """Return the DiskState that a controller reported; a missing or unknown one means a working disk."""
    if reported is None:
        return DiskState.WORKS
    try:
        return DiskState(reported)
    except ValueError:
        return DiskState.WORKS


class Contacts:
    """The contacts with the other controllers, by address."""

    def __init__(
        self,
        local_ip: str,
        incarnation: str,
        now: float,
        tolerated_failures: int,
        members: Callable[[], Collection[str]],
    ) -> None:
        """Start without any contact.

        `members` returns the addresses of the register's members, of which `tolerated_failures` may be lost
        at once; `incarnation` distinguishes this start of the program from earlier ones.
        """
        self.local_ip = local_ip
        self.incarnation = incarnation
        self.started_at = now
        self.tolerated_failures = tolerated_failures
        self.members = members
        self.peers: dict[str, PeerContact] = {}
        self._member_since: dict[str, float] = {}  # since when each member and this one are members together

    def _peer(self, ip: str) -> PeerContact:
        return self.peers.setdefault(ip, PeerContact())

    def issue_stamp(self, now: float) -> Stamp:
        """Return the stamp of a response that is sent at the time `now`."""
        return [self.incarnation, now]

    def stamps_to_echo(self) -> dict[str, JsonValue]:
        """Return the latest stamp received from each controller, by address."""
        return {ip: peer.latest_stamp for ip, peer in self.peers.items() if peer.latest_stamp is not None}

    def record_response(
        self, ip: str, sent_at: float, complete: bool, stamp: Stamp | None, disk: DiskState
    ) -> None:
        """Record a response to a call sent at `sent_at`; `complete` means that it omitted nothing."""
        peer = self._peer(ip)
        peer.record_disk(sent_at, disk)
        if sent_at - peer.answered_at >= CONTACT_TIMEOUT_S:
            peer.contact_since = sent_at
        peer.answered_at, peer.latest_stamp = sent_at, stamp
        if complete:
            peer.complete_at = sent_at

    def record_request(
        self, ip: str, now: float, echoed_stamp: object, revision: int, disk: DiskState
    ) -> bool:
        """Record a request, possibly a late duplicate; return whether it proves anything new.

        The sender holds all changes of the local store up to `revision`.
        """
        response_sent_at = self._response_sent_at(now, echoed_stamp)
        peer = self._peer(ip)
        if response_sent_at is None:
            peer.acknowledged_revision = 0  # the sender may have restarted
            return False
        if response_sent_at < peer.echoed_at:
            return False
        peer.record_disk(response_sent_at, disk)
        peer.echoed_at, peer.acknowledged_revision = response_sent_at, revision
        return True

    def _response_sent_at(self, now: float, stamp: object) -> float | None:
        """Return when this incarnation issued a stamp; None if it did not issue it."""
        if not isinstance(stamp, list) or len(stamp) != 2 or stamp[0] != self.incarnation:
            return None
        at = stamp[1]
        return at if isinstance(at, float | int) and at <= now else None

    def forms_quorum(self, others: Iterable[str]) -> bool:
        """Return whether `others` and this controller include more members than failures are tolerated.

        At least one of them then survives the tolerated failures. While no members are known, every
        controller counts as a member.
        """
        members = self.members()
        counted = sum(ip in members or not members for ip in others)
        return counted + (self.local_ip in members or not members) > self.tolerated_failures

    def in_quorum(self, now: float) -> bool:
        """Return whether enough others answer this controller, so that nothing it acknowledges is lost.

        Only responses count: a controller that is cut off in one direction still receives requests.
        """
        return self.forms_quorum(
            ip for ip, peer in self.peers.items() if now - peer.answered_at < CONTACT_TIMEOUT_S
        )

    def has_complete_view(self, now: float) -> bool:
        """Return whether enough others have recently sent everything they know."""
        return self.forms_quorum(
            ip for ip, peer in self.peers.items() if now - peer.complete_at < CONTACT_TIMEOUT_S
        )

    def forget(self, ip: str) -> None:
        """Drop the state of a controller that was removed."""
        self.peers.pop(ip, None)

    def is_replicated(self, revision: int) -> bool:
        """Return whether enough others hold all changes of the local store up to `revision`."""
        return self.forms_quorum(
            ip for ip, peer in self.peers.items() if peer.acknowledged_revision >= revision
        )

    def observers(self, now: float) -> set[str]:
        """Return the addresses of the controllers whose sightings of proxies count, including this one."""
        recent = {ip for ip, peer in self.peers.items() if now - peer.contact_at < OBSERVER_TIMEOUT_S}
        return {self.local_ip} | recent

    def peer_states(self, now: float) -> dict[str, PeerState]:
        """Return, as input of the replacement rule, the state of each other known controller or member."""
        members = self.members()
        since = self._member_since if self.local_ip in members else {}
        self._member_since = {ip: since.get(ip, now) for ip in members}
        states = {}
        for ip in {*self.peers, *members} - {self.local_ip}:
            peer = self.peers.get(ip) or PeerContact()
            states[ip] = PeerState(
                contact_at=max(peer.contact_at, self.started_at),
                usable_at=max(peer.usable_at, self.started_at),
                contact_since=peer.contact_since,
                disk=peer.disk,
                member_since=self._member_since.get(ip, -inf),
            )
        return states
