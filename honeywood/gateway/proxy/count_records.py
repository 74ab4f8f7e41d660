"""This proxy's counts of versions on trial, as records for the controllers."""

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.rollout import report

KNOWN_STEP_S = 0.5  # after which a proxy tells anew for how long it has known of a trial


class CountRecords:
    """Numbers what the stage tells whenever it changes, and tells it to controllers that lack it."""

    def __init__(self, stage, clock, node, incarnation, store):
        """`store` is where records stand; its epoch is told with each."""
        self.stage, self.clock, self.store = stage, clock, store
        self.key, self.incarnation = RecordKind.PROXY_COUNTS.key(node, incarnation), incarnation
        self.number, self.epoch, self.held = 0, 0, {}  # held: {controller: the number it has}
        self.last = {"rows": [], "votes": {}, "left": {}, "known": {}}

    def records_for(self, controller):
        """The record that a controller lacks, in a list; none where it has the newest."""
        told = report.encode(self.stage.report(self.clock()))
        known = {svc: [n, int(seconds / KNOWN_STEP_S)] for svc, (n, seconds) in told["known"].items()}
        now, epoch = {**told, "known": known}, self.store.epoch
        if now != self.last or self.number and epoch != self.epoch:
            self.number, self.last, self.epoch = self.number + 1, now, epoch
        if self.held.get(controller, 0) >= self.number:
            return []
        value = {"life": self.incarnation, **told}
        return [Record(self.key, Stamp.of(self.number, self.epoch), value)]

    def held_by(self, controller, number):
        """A controller says which number it has."""
        self.held[controller] = number

    def forget(self, controller):
        """A controller that is asked no more."""
        self.held.pop(controller, None)
