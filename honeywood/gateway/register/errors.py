"""What can go wrong with the register, below honeywood.gateway.errors."""

from __future__ import annotations

from honeywood.gateway.errors import Unavailable

OPERATION = "register"


class RegisterUnavailable(Unavailable):
    """A change or a read has no outcome; it may be tried again elsewhere or later.

    A change may have been accepted all the same.
    """


class NotBootstrapped(RegisterUnavailable):
    """The disk takes part in no epoch yet."""

    def __init__(self) -> None:
        """Name no peer."""
        super().__init__(OPERATION, "this disk takes no part yet")


class QuorumUnavailable(RegisterUnavailable):
    """Fewer than a majority of the members answered in time."""

    def __init__(self) -> None:
        """Name no peer."""
        super().__init__(OPERATION, "no majority answers")


class ConcurrentChange(RegisterUnavailable):
    """Other proposers' ballots won until the time for the change was up."""

    def __init__(self) -> None:
        """Name no peer."""
        super().__init__(OPERATION, "other changes came first")


class ValueUnavailable(RegisterUnavailable):
    """A large value was not transferred in time; its transfer goes on."""

    def __init__(self) -> None:
        """Name no peer."""
        super().__init__(OPERATION, "the value has not been carried here yet")


class DiskUnavailable(Unavailable):
    """The disk of this controller can't be used now."""


class DiskRefused(DiskUnavailable):
    """The disk refused a write."""


class DiskStalled(DiskUnavailable):
    """An earlier write has not returned for longer than a request may take."""


class DiskLost(DiskUnavailable):
    """The disk was lost, and is not filled from the others yet."""
