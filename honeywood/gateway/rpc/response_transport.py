"""The transport that responses are written to."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class ResponseTransport:
    """A client's transport, whose `close` leaves it to the protocol how the connection ends."""

    __slots__ = ("_is_closed", "_on_close", "_transport")

    def __init__(self, transport: asyncio.Transport, on_close: Callable[[], None]) -> None:
        """`on_close` is called once, when the last response has been written."""
        self._transport, self._on_close, self._is_closed = transport, on_close, False

    def write(self, data: bytes) -> None:
        """Write a part of a response."""
        self._transport.write(data)

    def is_closing(self) -> bool:
        """Return whether nothing more may be written."""
        return self._is_closed or self._transport.is_closing()

    def close(self) -> None:
        """End the connection after what has been written."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()
