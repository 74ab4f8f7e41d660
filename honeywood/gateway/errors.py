"""The base exceptions of the gateway: what went wrong, in which operation and with which peer.

Packages derive their own exceptions from these. The HTTP status of a response depends on the exception's type
alone; rpc/statuses.py maps one to the other.
"""

from __future__ import annotations


class GatewayError(Exception):
    """An operation that could not be carried out.

    `operation` names it (a call, a path or a file), `reason` describes what went wrong, and `peer` is the
    address of the other side, empty if there is none.
    """

    def __init__(self, operation: str, reason: str, peer: str = "") -> None:
        self.operation = operation
        self.reason = reason
        self.peer = peer
        super().__init__(f"{operation}{' with ' + peer if peer else ''}: {reason}")


class InvalidInput(GatewayError):
    """A call, message or file that is invalid; retrying it does not help."""


class InvalidSettings(InvalidInput):
    """An invalid settings file; `operation` names the table, `reason` the key."""


class InvalidConfiguration(InvalidInput):
    """An invalid configuration; `operation` names the item, `reason` the key."""


class InvalidMessage(InvalidInput):
    """A message from another process of the gateway that cannot be decoded."""


class NotFound(GatewayError):
    """The requested object does not exist."""


class VersionConflict(GatewayError):
    """A version number that is already bound to another content."""


class PayloadTooLarge(GatewayError):
    """A body that is longer than the limit, or that ended early."""


class Unavailable(GatewayError):
    """This process cannot carry out the operation now; another process, or a later retry, may succeed."""


class CallFailed(Unavailable):
    """A call without a usable response; it is unknown whether the peer carried it out."""


class CallRefused(GatewayError):
    """A call that the peer answered with a `status` other than 200."""

    def __init__(self, operation: str, reason: str, peer: str, status: int) -> None:
        super().__init__(operation, reason, peer)
        self.status = status
