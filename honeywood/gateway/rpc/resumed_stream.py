"""Reading one more response on a connection whose last one answered another request."""

from __future__ import annotations

import httpcore

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.rpc.tcp_stream import TcpStream


class ResumedStream(httpcore.AsyncNetworkStream):
    """A stream on which a request has been sent and a surplus response read.

    httpcore reads one response a request. A new httpcore connection over this stream reads what follows the
    surplus response, while the request it writes is dropped, since it has left already.
    """

    def __init__(self, stream: TcpStream, unread: bytes) -> None:
        """`unread` are the bytes that were read behind the surplus response."""
        self._stream, self._unread = stream, unread

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what was read behind the surplus response, then what the stream reads."""
        if not self._unread:
            return await self._stream.read(max_bytes, timeout)
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Drop the request: it isn't sent twice."""

    async def aclose(self) -> None:
        """End the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> object:
        """Return what the stream returns."""
        return self._stream.get_extra_info(info)
