"""Exceptions of rpc. Calls raise CallFailed and CallRefused instead, from honeywood.gateway.errors."""

from __future__ import annotations

from honeywood.gateway.errors import InvalidInput

REQUEST_HEAD = "request head"  # the `operation` of every RequestRejected


class RequestRejected(InvalidInput):
    """The head of a request is invalid or too large and is not parsed further."""

    def __init__(self, reason: str) -> None:
        """`reason` says what is wrong with the head."""
        super().__init__(REQUEST_HEAD, reason)
