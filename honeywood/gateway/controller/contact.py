"""Which other controllers are in contact, and which of them have what this one's store says. Pure: times are
handed in, in seconds of this controller's steady clock.

Only evidence that can't be an old copy counts. An answer to a call of this controller shows contact at the
moment the call was sent. A request of another controller repeats the stamp of this one's latest answer to it
(as TCP does with its timestamps, RFC 7323): it shows contact at the moment that answer was sent, however late
it or a copy of it comes.
"""

from dataclasses import dataclass
from math import inf

from honeywood.gateway.register.replacement import DiskState, PeerState

CONTACT_S = 1.6  # seconds from its sending for which a call that was answered shows contact
VOUCHES_S = 3.0  # seconds after which a controller without contact vouches for no proxy


@dataclass(slots=True)
class Peer:
    """What is known of one other controller."""

    answered_at: float = -inf  # when the latest call that it answered was sent
    complete_at: float = -inf  # the same of those whose answer told all that it knew
    echoed_at: float = -inf  # when the answer was sent whose stamp it has repeated
    contact_since: float = inf  # when the first answered call of the present contact was sent
    usable_at: float = -inf  # when it was last in contact and its disk worked
    disk: DiskState = DiskState.WORKS  # by the latest that it told
    revision: int = 0  # up to which change of the store here it has heard all
    stamp: list | None = None  # of its latest answer: goes back with the next request

    @property
    def contact_at(self):
        """When it was last in contact."""
        return max(self.answered_at, self.echoed_at)

    def _told(self, at, disk):
        if at >= self.contact_at:
            self.disk = disk
        if disk is DiskState.WORKS:
            self.usable_at = max(self.usable_at, at)


def disk_state(told):
    """The DiskState that a controller told; one that tells none, or none that is known, has a disk that
    works."""
    try:
        return DiskState(told)
    except ValueError:
        return DiskState.WORKS


class Contacts:
    """The other controllers by address. `members` gives the members of the register, `tolerated` is how many
    of them may be lost at once, `incarnation` tells this life of the program from earlier ones."""

    def __init__(self, local_ip, incarnation, now, tolerated, members):
        self.local_ip, self.incarnation, self.started_at = local_ip, incarnation, now
        self.tolerated, self.members, self.peers = tolerated, members, {}

    def _peer(self, ip):
        return self.peers.setdefault(ip, Peer())

    def stamp(self, now):
        """What goes with an answer, to be repeated with the next request."""
        return [self.incarnation, now]

    def stamps(self):
        """The stamps to repeat, by the address of the controller that gave each."""
        return {ip: peer.stamp for ip, peer in self.peers.items() if peer.stamp is not None}

    def answered(self, ip, asked_at, complete, stamp, disk):
        """A call to `ip` that was sent at `asked_at` has been answered."""
        peer = self._peer(ip)
        peer._told(asked_at, disk)
        if asked_at - peer.answered_at >= CONTACT_S:
            peer.contact_since = asked_at
        peer.answered_at, peer.stamp = asked_at, stamp
        if complete:
            peer.complete_at = asked_at

    def asked(self, ip, now, stamp, revision, disk):
        """A request of `ip` has come, which may be a late copy; whether it is news of that controller."""
        answer_at = self._answer_at(now, stamp)
        peer = self._peer(ip)
        if answer_at is None:
            peer.revision = 0  # it has begun anew, as far as can be told
            return False
        if answer_at < peer.echoed_at:
            return False
        peer._told(answer_at, disk)
        peer.echoed_at, peer.revision = answer_at, revision
        return True

    def _answer_at(self, now, stamp):
        """When this incarnation gave that stamp; None if it never did."""
        if not isinstance(stamp, list) or len(stamp) != 2 or stamp[0] != self.incarnation:
            return None
        at = stamp[1]
        return at if isinstance(at, float | int) and at <= now else None

    def is_enough(self, others):
        """Whether so many members are among the `others` that one stays, itself counted if it is one, when as
        many as may be are lost. While none are known, any controller counts."""
        members = self.members()
        some = sum(ip in members or not members for ip in others)
        return some + (self.local_ip in members or not members) > self.tolerated

    def in_quorum(self, now):
        """Whether enough others answer this controller, there and back, that nothing told here is lost: one
        that is cut off in one direction still hears others ask."""
        return self.is_enough(ip for ip, peer in self.peers.items() if now - peer.answered_at < CONTACT_S)

    def knows_all(self, now):
        """Whether enough others have told all that they knew lately."""
        return self.is_enough(ip for ip, peer in self.peers.items() if now - peer.complete_at < CONTACT_S)

    def forget(self, ip):
        """Drops what is known of a controller that was removed."""
        self.peers.pop(ip, None)

    def have_heard(self, revision):
        """Whether enough others have all changes of the store up to `revision`."""
        return self.is_enough(ip for ip, peer in self.peers.items() if peer.revision >= revision)

    def vouching(self, now):
        """The addresses of the controllers whose word on proxies counts, this one's among them."""
        fresh = {ip for ip, peer in self.peers.items() if now - peer.contact_at < VOUCHES_S}
        return {self.local_ip} | fresh

    def states(self):
        """What the rule of replacement goes by, for each other controller that is known or a member."""
        found = {}
        for ip in {*self.peers, *self.members()} - {self.local_ip}:
            peer = self.peers.get(ip) or Peer()
            found[ip] = PeerState(
                contact_at=max(peer.contact_at, self.started_at),
                usable_at=max(peer.usable_at, self.started_at),
                contact_since=peer.contact_since,
                disk=peer.disk,
            )
        return found
