"""Reading another response from a connection on which a response to a different request was received."""

from __future__ import annotations

import httpcore

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.rpc.tcp_stream import TcpStream


class ResumedStream(httpcore.AsyncNetworkStream):
    """A stream on which a request has been sent and a surplus response has been read.

    httpcore reads one response per request. To read the next response, a new httpcore connection uses this
    stream; the request that it writes again is dropped, since it has already been sent.
    """

    def __init__(self, stream: TcpStream, unread: bytes) -> None:
        """`unread` are bytes that were received after the surplus response but not parsed yet."""
        self._stream, self._unread = stream, unread

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes in `unread` first, then bytes that are read from the stream."""
        if not self._unread:
            return await self._stream.read(max_bytes, timeout)
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Drop the request, so that it is not sent twice."""

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> object:
        """Return the information of the underlying stream."""
        return self._stream.get_extra_info(info)
