"""The proposer of CASPaxos: a change of one key's value, prepare and accept with a majority each. Pure:
replies are fed in.

A reply carries `lives`: how often each disk has begun anew, as far as its sender knows, its own among them.
What a disk told before it was lost counts no more as soon as another reply tells of its newer life: the disk
has asked the others for their rows since, perhaps before they heard what it had answered to.
"""

from honeywood.gateway.register.row import NO_BALLOT

FIRST_INCARNATION = 1  # the life of a disk that was never lost


def current(replies):
    """Of {ip: reply} those whose disk is not known, by any of them, to have begun anew since."""
    newest = {}
    for reply in replies.values():
        for ip, life in reply.lives.items():
            newest[ip] = max(life, newest.get(ip, FIRST_INCARNATION))
    return [
        reply
        for ip, reply in replies.items()
        if reply.lives.get(ip, FIRST_INCARNATION) == newest.get(ip, FIRST_INCARNATION)
    ]


class Proposal:
    """One ballot's way. `change` takes the value held (or None) and gives the one to hold."""

    def __init__(self, ballot, majority, change):
        self.ballot, self.majority, self.change = ballot, majority, change
        self.promises, self.accepts, self.refused = {}, {}, NO_BALLOT
        self.latest = self.value = None

    def _enough(self, ip, reply, kept):
        if not reply.ok:
            self.refused = max(self.refused, reply.promised)
            return ()
        kept[ip] = reply
        counted = current(kept)
        return counted if len(counted) >= self.majority else ()

    def promised(self, ip, reply):
        """Takes a reply to prepare; whether a majority has promised, and `latest` is the promise that told
        the value to go on from."""
        counted = self._enough(ip, reply, self.promises)
        if counted:
            self.latest = max(counted, key=lambda one: one.accepted)
        return bool(counted)

    @property
    def holders(self):
        """The disks that told the value to go on from."""
        return [ip for ip, reply in self.promises.items() if reply.accepted == self.latest.accepted]

    def propose(self, held):
        """Takes the value that `latest` told of; the value to be accepted."""
        self.value = self.change(held)
        return self.value

    def accepted(self, ip, reply):
        """Takes a reply to accept; whether a majority holds the value now."""
        return bool(self._enough(ip, reply, self.accepts))


def agreed(rows, majority):
    """A row that a majority holds under one ballot, out of rows of different disks, or None. Rows that aren't
    `sure` don't count: a disk that was rebuilt holds copies of what it never accepted, beside the promises of
    others, and a later ballot may have been promised where nobody knew of the copied one."""
    ballots = [row.accepted for row in rows if row.sure]
    return next((row for row in rows if ballots.count(row.accepted) >= majority), None)
