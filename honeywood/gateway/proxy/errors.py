"""Exceptions of the proxy."""

from honeywood.gateway.errors import InvalidMessage


class InvalidDeadline(InvalidMessage):
    """A client's X-Deadline-Ms that is no number."""
