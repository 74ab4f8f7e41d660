"""Exceptions of the proxy."""

from honeywood.gateway.errors import InvalidMessage


class InvalidDeadline(InvalidMessage):
    """Raised for a client's X-Deadline-Ms that is not a number."""
