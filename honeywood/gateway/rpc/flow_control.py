"""Flow control for a client's connection that detects a disconnect even while reading is paused."""

from __future__ import annotations

from uvicorn.protocols.http.flow_control import FlowControl

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio

    from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

DISCONNECT_CHECK_S = 0.1  # seconds between checks for a disconnect while reading is paused


class DisconnectWatchingFlowControl(FlowControl):
    """uvicorn's flow control of one transport, extended by checks for a disconnect.

    While reading is paused, the end of the connection is queued unread behind the bytes that the client has
    sent. The socket is therefore polled every `DISCONNECT_CHECK_S` seconds until reading resumes, and the
    transport is aborted if the client has disconnected.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        disconnect: ClientDisconnect,
    ) -> None:
        """`disconnect` belongs to the client of `transport`."""
        super().__init__(transport)
        self._loop, self._disconnect = loop, disconnect
        self._timer: asyncio.TimerHandle | None = None

    def pause_reading(self) -> None:
        """Pause reading, and start checking for a disconnect."""
        super().pause_reading()
        self._schedule_check()

    def stop_watching(self) -> None:
        """Stop checking, since the client is known to have disconnected."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_check(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(DISCONNECT_CHECK_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self.read_paused or self._transport.is_closing():
            return
        if self._disconnect.check(self._loop.time()):
            self._transport.abort()
        else:
            self._schedule_check()
