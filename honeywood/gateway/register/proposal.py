"""The proposer's state for one CASPaxos ballot, updated with the members' replies. Pure."""

from __future__ import annotations

from honeywood.gateway.register.incarnations import current_replies
from honeywood.gateway.register.replies import BallotConflict, Promise
from honeywood.gateway.register.row import NO_BALLOT

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.register.replies import Accepted
    from honeywood.gateway.register.row import Ballot


class Proposal:
    """One ballot: a majority must promise it, then accept a value under it.

    `latest_promise` is the promise with the highest accepted ballot, set once a majority has promised; its
    value is the current one, to which the change is applied. `highest_conflict` is the highest ballot that a
    member has promised instead, or NO_BALLOT if there is none.
    """

    def __init__(self, ballot: Ballot, majority: int) -> None:
        """Start without replies; `majority` is the number of members that form a quorum."""
        self.ballot = ballot
        self.majority = majority
        self.promises: dict[str, Promise] = {}
        self.acceptances: dict[str, Accepted] = {}
        self.highest_conflict = NO_BALLOT
        self.latest_promise = Promise(NO_BALLOT, None)

    def on_prepare_reply(self, ip: str, reply: Promise | BallotConflict) -> bool:
        """Record a member's reply to the prepare request; return whether a majority has promised."""
        if isinstance(reply, BallotConflict):
            self._record_conflict(reply)
            return False
        self.promises[ip] = reply
        current = current_replies(self.promises)
        if len(current) < self.majority:
            return False
        self.latest_promise = max(current.values(), key=lambda promise: promise.accepted)
        return True

    def on_accept_reply(self, ip: str, reply: Accepted | BallotConflict) -> bool:
        """Record a member's reply to the accept request; return whether a majority has accepted."""
        if isinstance(reply, BallotConflict):
            self._record_conflict(reply)
            return False
        self.acceptances[ip] = reply
        return len(current_replies(self.acceptances)) >= self.majority

    def _record_conflict(self, conflict: BallotConflict) -> None:
        self.highest_conflict = max(self.highest_conflict, conflict.promised)

    @property
    def value_sources(self) -> list[str]:
        """The addresses of the members that have the current value."""
        latest = self.latest_promise.accepted
        return [ip for ip, promise in self.promises.items() if promise.accepted == latest]
