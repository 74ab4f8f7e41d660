"""The exceptions of rpc beside those that calls raise, which are CallFailed and CallRefused."""

from __future__ import annotations

from honeywood.gateway.errors import InvalidInput

REQUEST_HEAD = "request head"  # the operation of a RequestRejected


class RequestRejected(InvalidInput):
    """A request's head that is not read further."""

    def __init__(self, reason: str) -> None:
        """`reason` says what is wrong with the head."""
        super().__init__(REQUEST_HEAD, reason)
