"""Errors of the register; their base classes are in honeywood.gateway.errors."""

from __future__ import annotations

from honeywood.gateway.errors import Unavailable

OPERATION = "register"


class RegisterUnavailable(Unavailable):
    """A change or a read did not complete; it may be retried later or at another controller.

    The value of a change that did not complete may still have been accepted.
    """


class NotBootstrapped(RegisterUnavailable):
    """The disk has not entered an epoch yet."""

    def __init__(self) -> None:
        """Create the error without a peer."""
        super().__init__(OPERATION, "this disk takes no part yet")


class QuorumUnavailable(RegisterUnavailable):
    """Fewer than a majority of the members replied in time."""

    def __init__(self) -> None:
        """Create the error without a peer."""
        super().__init__(OPERATION, "no majority answers")


class ConcurrentChange(RegisterUnavailable):
    """Other proposers' ballots won until the deadline of the change."""

    def __init__(self) -> None:
        """Create the error without a peer."""
        super().__init__(OPERATION, "other changes came first")


class ValueUnavailable(RegisterUnavailable):
    """A large value was not transferred in time; its transfer continues in the background."""

    def __init__(self) -> None:
        """Create the error without a peer."""
        super().__init__(OPERATION, "the value has not been transferred here yet")


class DiskUnavailable(Unavailable):
    """The disk of this controller can't be used at present."""


class DiskRefused(DiskUnavailable):
    """The disk refused a write."""


class DiskStalled(DiskUnavailable):
    """An earlier write has been running for longer than the timeout of a request."""


class DiskLost(DiskUnavailable):
    """The disk was lost and has not been rebuilt from the other members yet."""
