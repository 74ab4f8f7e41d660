"""A change of one key's value: prepare, then accept, each with a majority. Pure: replies are fed in."""

from honeywood.system.ledger.acceptor import NEVER


class Round:
    """One ballot's way. `change` takes the value held (or None) and gives the one to hold."""

    def __init__(self, ballot, majority, change):
        self.ballot, self.majority, self.change = ballot, majority, change
        self.promises, self.accepts, self.refused, self.value = [], 0, NEVER, None

    def promised(self, reply):
        """Takes a reply to prepare; whether a majority has promised and `value` stands."""
        if not reply["ok"]:
            self.refused = max(self.refused, reply["promised"])
            return False
        self.promises.append((reply["accepted"], reply["value"]))
        if len(self.promises) != self.majority:
            return False
        held = max(self.promises, key=lambda promise: promise[0])[1]
        self.value = self.change(held)
        return True

    def accepted(self, reply):
        """Takes a reply to accept; whether a majority holds the value now."""
        if not reply["ok"]:
            self.refused = max(self.refused, reply["promised"])
            return False
        self.accepts += 1
        return self.accepts == self.majority


def agreed(replies, majority):
    """A value that a majority holds under one ballot, as (found, value), out of replies to read."""
    ballots = [reply["accepted"] for reply in replies]
    for reply in replies:
        if ballots.count(reply["accepted"]) >= majority:
            return True, reply["value"]
    return False, None
