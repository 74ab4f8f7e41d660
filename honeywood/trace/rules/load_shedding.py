"""Which records are shed when a recorder's queue fills."""

from __future__ import annotations

from honeywood.trace.schema import LOOK, PROBE, TAKEN

# Shares of the queue from which on records are shed: what tells least first. Once an RPC's arrival is
# recorded, the rest of its records has the last quarter to itself, so that few RPCs are torn; one whose
# arrival is shed has no records.
SHED_SECONDARY_FROM, SHED_ARRIVALS_FROM = 0.5, 0.75
SECONDARY_KINDS = {PROBE.number, LOOK.number}


class LoadShedding:
    """Whether a record is admitted to a queue; counts what is not, until take_losses() asks for it.

    >>> from honeywood.trace.schema import ANSWER
    >>> shedding = LoadShedding(100)
    >>> [shedding.admits(kind.number, 80, True) for kind in (TAKEN, ANSWER)], shedding.take_losses()
    ([False, True], (1, 1))
    """

    def __init__(self, capacity: int) -> None:
        """`capacity` is the queue's, in records."""
        self._capacity = capacity
        self.secondary_limit = capacity * SHED_SECONDARY_FROM  # below it all records are admitted
        self._arrivals_limit = capacity * SHED_ARRIVALS_FROM
        self.lost = self.lost_rpcs = 0

    def admits(self, kind: int, queued: int, rpc_is_recorded: bool) -> bool:
        """Whether a record is admitted; `rpc_is_recorded` says so of its RPC's arrival, if it is of one."""
        if rpc_is_recorded and self._has_place(kind, queued):
            return True
        self.lost += 1
        self.lost_rpcs += kind == TAKEN.number
        return False

    def _has_place(self, kind: int, queued: int) -> bool:
        if queued < self.secondary_limit:
            return True
        if kind in SECONDARY_KINDS or queued >= self._capacity:
            return False
        return kind != TAKEN.number or queued < self._arrivals_limit

    def take_losses(self) -> tuple[int, int]:
        """(records, RPCs among them) lost since it was asked last."""
        losses = self.lost, self.lost_rpcs
        self.lost = self.lost_rpcs = 0
        return losses
