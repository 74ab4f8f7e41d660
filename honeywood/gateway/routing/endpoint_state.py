"""The life-cycle states of a service machine."""

from enum import StrEnum


class EndpointState(StrEnum):
    """A machine's state. The values are those of machine records on the wire and in stored data."""

    READY = "ready"  # takes new requests
    DRAINING = "draining"  # finishes what it has and takes nothing new
    GONE = "gone"  # has left for good; its id is never used again
    LOST = "silent"  # its heartbeats are overdue; it may come back


READY, DRAINING, GONE, LOST = EndpointState
