"""The life-cycle states of a service machine."""

from enum import StrEnum


class EndpointState(StrEnum):
    """A machine's state. The values are used in machine records, on the wire and in stored data."""

    READY = "ready"  # takes new requests
    DRAINING = "draining"  # finishes its requests and takes no new ones
    GONE = "gone"  # has left permanently; its id is never used again
    LOST = "silent"  # its heartbeats are overdue; it may come back


READY, DRAINING, GONE, LOST = EndpointState
