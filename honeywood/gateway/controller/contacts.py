"""Which other controllers are in contact with this one, and which of them hold all changes of its store.

Only evidence that cannot be an old copy counts. An answer to a call of this controller shows contact at the
moment the call was sent. A request of another controller echoes the stamp of this one's latest answer to it
(as TCP does with its timestamps, RFC 7323): it shows contact at the moment that answer was sent, however late
the request or a copy of it arrives.

Nothing here reads a clock: times are passed in, in seconds of this controller's steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from honeywood.gateway.register.replacement import DiskState, PeerState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from honeywood.gateway.dissemination.record import JsonValue

    Stamp = list[JsonValue]  # [incarnation, time of sending]: meant for the one who issued it alone

CONTACT_TIMEOUT_S = 1.6  # seconds from the sending of an answered call for which it shows contact
OBSERVER_TIMEOUT_S = 3.0  # seconds without contact after which a controller's sightings of proxies lapse


@dataclass(slots=True)
class PeerContact:
    """What is known of one other controller."""

    answered_at: float = -inf  # when the latest call that it answered was sent
    complete_at: float = -inf  # the same of the calls whose answer left nothing out
    echoed_at: float = -inf  # when the answer was sent whose stamp it has echoed
    contact_since: float = inf  # when the first answered call of the present contact was sent
    usable_at: float = -inf  # when it was last in contact with a working disk
    disk: DiskState = DiskState.WORKS  # as it last reported
    acknowledged_revision: int = 0  # it holds all changes of the local store up to this one
    latest_stamp: Stamp | None = None  # of its latest answer; goes back with the next request

    @property
    def contact_at(self) -> float:
        """When it was last in contact."""
        return max(self.answered_at, self.echoed_at)

    def record_disk(self, at: float, disk: DiskState) -> None:
        """Take over the state of its disk at the time `at`."""
        if at >= self.contact_at:
            self.disk = disk
        if disk is DiskState.WORKS:
            self.usable_at = max(self.usable_at, at)


def decode_disk_state(reported: str | None) -> DiskState:
    """Return the DiskState that a controller reports: none or an unknown one stands for a working disk."""
    if reported is None:
        return DiskState.WORKS
    try:
        return DiskState(reported)
    except ValueError:
        return DiskState.WORKS


class Contacts:
    """The other controllers by address."""

    def __init__(
        self,
        local_ip: str,
        incarnation: str,
        now: float,
        tolerated_failures: int,
        members: Callable[[], Collection[str]],
    ) -> None:
        """Start without any other controller.

        `members` returns the addresses of the register's members, of which `tolerated_failures` may be lost
        at once; `incarnation` tells this start of the program from earlier ones.
        """
        self.local_ip = local_ip
        self.incarnation = incarnation
        self.started_at = now
        self.tolerated_failures = tolerated_failures
        self.members = members
        self.peers: dict[str, PeerContact] = {}

    def _peer(self, ip: str) -> PeerContact:
        return self.peers.setdefault(ip, PeerContact())

    def issue_stamp(self, now: float) -> Stamp:
        """Return the stamp of an answer that is sent now."""
        return [self.incarnation, now]

    def stamps_to_echo(self) -> dict[str, JsonValue]:
        """Return the latest stamp of each controller by its address."""
        return {ip: peer.latest_stamp for ip, peer in self.peers.items() if peer.latest_stamp is not None}

    def record_response(
        self, ip: str, sent_at: float, complete: bool, stamp: Stamp | None, disk: DiskState
    ) -> None:
        """Take note of an answer to a call sent at `sent_at`; `complete` if it left nothing out."""
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
        """Take note of a request, maybe a late copy; return whether it shows anything new.

        `revision` is the change of the local store up to which its sender holds all.
        """
        answer_sent_at = self._answer_sent_at(now, echoed_stamp)
        peer = self._peer(ip)
        if answer_sent_at is None:
            peer.acknowledged_revision = 0  # for all that is known it has restarted
            return False
        if answer_sent_at < peer.echoed_at:
            return False
        peer.record_disk(answer_sent_at, disk)
        peer.echoed_at, peer.acknowledged_revision = answer_sent_at, revision
        return True

    def _answer_sent_at(self, now: float, stamp: object) -> float | None:
        """Return when this incarnation issued a stamp; None if it never did."""
        if not isinstance(stamp, list) or len(stamp) != 2 or stamp[0] != self.incarnation:
            return None
        at = stamp[1]
        return at if isinstance(at, float | int) and at <= now else None

    def forms_quorum(self, others: Iterable[str]) -> bool:
        """Return whether a member among `others` and this controller is left after the tolerated failures.

        While no members are known, any controller counts as one.
        """
        members = self.members()
        counted = sum(ip in members or not members for ip in others)
        return counted + (self.local_ip in members or not members) > self.tolerated_failures

    def in_quorum(self, now: float) -> bool:
        """Return whether enough others answer this controller that nothing it acknowledges is lost.

        Answers are what counts: a controller cut off in one direction still receives requests.
        """
        return self.forms_quorum(
            ip for ip, peer in self.peers.items() if now - peer.answered_at < CONTACT_TIMEOUT_S
        )

    def has_complete_view(self, now: float) -> bool:
        """Return whether enough others have lately sent all that they know."""
        return self.forms_quorum(
            ip for ip, peer in self.peers.items() if now - peer.complete_at < CONTACT_TIMEOUT_S
        )

    def forget(self, ip: str) -> None:
        """Drop what is known of a controller that was removed."""
        self.peers.pop(ip, None)

    def is_replicated(self, revision: int) -> bool:
        """Return whether enough others hold all changes of the local store up to `revision`."""
        return self.forms_quorum(
            ip for ip, peer in self.peers.items() if peer.acknowledged_revision >= revision
        )

    def observers(self, now: float) -> set[str]:
        """Return the addresses of the controllers whose sightings of proxies count, this one's among them."""
        recent = {ip for ip, peer in self.peers.items() if now - peer.contact_at < OBSERVER_TIMEOUT_S}
        return {self.local_ip} | recent

    def peer_states(self) -> dict[str, PeerState]:
        """Return the input of the replacement rule for each other controller that is known or a member."""
        states = {}
        for ip in {*self.peers, *self.members()} - {self.local_ip}:
            peer = self.peers.get(ip) or PeerContact()
            states[ip] = PeerState(
                contact_at=max(peer.contact_at, self.started_at),
                usable_at=max(peer.usable_at, self.started_at),
                contact_since=peer.contact_since,
                disk=peer.disk,
            )
        return states
