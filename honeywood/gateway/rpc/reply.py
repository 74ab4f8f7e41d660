"""What an exchange with a peer comes to: a reply, or a failure.

A failure is returned, not raised: every caller looks at `sent` before it decides whether the request may be
sent again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from honeywood.gateway.rpc.connection import Connection
    from honeywood.gateway.rpc.headers import HeaderFields


class BodyRemainder:
    """What follows the buffered start of a long response body: an asynchronous iterator that is read once."""

    __slots__ = ("_chunks", "_connection", "_is_complete")

    def __init__(self, connection: Connection, chunks: AsyncIterator[bytes]) -> None:
        """`chunks` are read from `connection`, which is released after the last one."""
        self._connection, self._chunks, self._is_complete = connection, chunks, False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks; raises an httpcore error if the response ends early."""
        async for chunk in self._chunks:
            yield chunk
        self._is_complete = True
        self._connection.on_release(self._connection)

    def abandon(self) -> None:
        """End the connection, and with it the reading, unless all has been read.

        After the last chunk the connection has been released, and others may use it.
        """
        if not self._is_complete:
            self._connection.close()


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response, or with `remainder` the start of a long one.

    `headers` are as they came, with names in lower case; `fields` has one value of each.
    """

    status: int
    headers: HeaderFields
    body: bytes
    remainder: BodyRemainder | None = None
    fields: dict[bytes, bytes] = field(default_factory=dict)
    surplus: bool = False  # answers another request; `Connection.read_next_reply` may find the right one


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """No complete response came.

    `sent` says that bytes of the request may have left, `timed_out` that the deadline passed.
    """

    reason: str
    sent: bool
    timed_out: bool = False
