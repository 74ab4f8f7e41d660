"""Which records are shed when a recorder's queue fills."""

from __future__ import annotations

from honeywood.trace.schema import ARRIVAL, PROBE, TIMER

# Fill levels of the queue, as shares of its capacity, from which records are shed, the least informative
# first. The last quarter is reserved for RPCs whose arrival is recorded, so that few of them are incomplete;
# an RPC whose arrival is shed has no records.
SHED_SECONDARY_FROM, SHED_ARRIVALS_FROM = 0.5, 0.75
SECONDARY_KINDS = {PROBE.number, TIMER.number}


class LoadShedding:
    """Decides whether a record is admitted to a queue, and counts the shed ones until take_losses().

    >>> from honeywood.trace.schema import ANSWER
    >>> shedding = LoadShedding(100)
    >>> [shedding.admits(kind.number, 80, True) for kind in (ARRIVAL, ANSWER)], shedding.take_losses()
    ([False, True], (1, 1))
    """

    def __init__(self, capacity: int) -> None:
        """`capacity` is the maximum length of the queue, in records."""
        self._capacity = capacity
        self.secondary_limit = capacity * SHED_SECONDARY_FROM  # below it all records are admitted
        self._arrivals_limit = capacity * SHED_ARRIVALS_FROM
        self.lost = self.lost_rpcs = 0

    def admits(self, kind: int, queued: int, rpc_is_recorded: bool) -> bool:
        """Whether a record is admitted.

        `rpc_is_recorded` is whether the arrival of the record's RPC was admitted; True for other records.
        """
        if rpc_is_recorded and self._has_place(kind, queued):
            return True
        self.lost += 1
        self.lost_rpcs += kind == ARRIVAL.number
        return False

    def _has_place(self, kind: int, queued: int) -> bool:
        if queued < self.secondary_limit:
            return True
        if kind in SECONDARY_KINDS or queued >= self._capacity:
            return False
        return kind != ARRIVAL.number or queued < self._arrivals_limit

    def take_losses(self) -> tuple[int, int]:
        """Return (records, RPC arrivals among them) lost since the last call."""
        losses = self.lost, self.lost_rpcs
        self.lost = self.lost_rpcs = 0
        return losses
