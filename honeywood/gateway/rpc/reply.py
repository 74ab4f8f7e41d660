"""The result of an exchange with a peer: a reply or a failure.

A failure is returned instead of raised, since every caller needs its `sent` to decide whether the request may
be sent again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from honeywood.gateway.rpc.connection import Connection
    from honeywood.gateway.rpc.headers import HeaderFields


class BodyRemainder:
    """The rest of a long response body after its buffered start: an asynchronous iterator, read once."""

    __slots__ = ("__weakref__", "_chunks", "_is_complete", "connection")

    def __init__(self, connection: Connection, chunks: AsyncIterator[bytes]) -> None:
        """`chunks` are read from `connection`, which is released after the last chunk."""
        self.connection, self._chunks, self._is_complete = connection, chunks, False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks; raises an httpcore error if the response ends early."""
        async for chunk in self._chunks:
            yield chunk
        self._is_complete = True
        self.connection.on_release(self.connection)

    def abandon(self) -> None:
        """Stop reading and close the connection, unless the body has been read completely.

        After the last chunk the connection has been released, and other requests may be using it.
        """
        if not self._is_complete:
            self.connection.close()

    @property
    def holds_connection(self) -> bool:
        """Whether the connection has neither been released nor ended."""
        return not (self._is_complete or self.connection.ended)


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response, or the start of a long one if `remainder` is set.

    `headers` are in the order received, with names in lower case; `fields` maps each name to its last value.
    """

    status: int
    headers: HeaderFields
    body: bytes
    remainder: BodyRemainder | None = None
    fields: dict[bytes, bytes] = field(default_factory=dict)
    surplus: bool = False  # answers another request; `Connection.read_next_reply` may find the right one


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """No complete response was received.

    `sent` is True if bytes of the request may have been sent, `timed_out` if the deadline passed.
    """

    reason: str
    sent: bool
    timed_out: bool = False
