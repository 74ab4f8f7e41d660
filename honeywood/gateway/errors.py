"""The exceptions of the gateway. Each is named for what went wrong and says in which operation and with whom.

Packages derive their own exceptions from these. Which HTTP status a caller is answered with is decided from
the type alone, in rpc/statuses.py.
"""

from __future__ import annotations


class GatewayError(Exception):
    """An operation that could not be carried out.

    `operation` names it (a call, a path or a file), `reason` says what was wrong, and `peer` is the address
    of the other side, empty where there is none.
    """

    def __init__(self, operation: str, reason: str, peer: str = "") -> None:
        self.operation = operation
        self.reason = reason
        self.peer = peer
        super().__init__(f"{operation}{' with ' + peer if peer else ''}: {reason}")


class InvalidInput(GatewayError):
    """A call, message or file that cannot be used as it is; repeating it does not help."""


class InvalidSettings(InvalidInput):
    """A settings file that cannot be used; `operation` names the table, `reason` the key."""


class InvalidConfiguration(InvalidInput):
    """A configuration that cannot be used; `operation` names the item, `reason` the key."""


class InvalidMessage(InvalidInput):
    """A message of another of our processes that cannot be decoded."""


class NotFound(GatewayError):
    """What was asked for does not exist."""


class VersionConflict(GatewayError):
    """A version number that already stands for another content."""


class PayloadTooLarge(GatewayError):
    """A body that is longer than the limit, or that broke off."""


class Unavailable(GatewayError):
    """This process cannot carry out the operation now; another one, or a later attempt, may."""


class CallFailed(Unavailable):
    """A call that brought no usable answer; whether it was carried out is not known."""


class CallRefused(GatewayError):
    """A call that was answered with a status other than 200, which is `status`."""

    def __init__(self, operation: str, reason: str, peer: str, status: int) -> None:
        super().__init__(operation, reason, peer)
        self.status = status
