"""Flow control of a client's connection that notices the client's disconnect while reading is paused."""

from __future__ import annotations

from uvicorn.protocols.http.flow_control import FlowControl

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio

    from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

DISCONNECT_CHECK_S = 0.1  # seconds between looks at whether a client has disconnected that isn't read


class DisconnectWatchingFlowControl(FlowControl):
    """uvicorn's control of reading and writing on one transport.

    While reading is paused the connection's end lies unread behind what the client has sent, so the socket is
    looked at every `DISCONNECT_CHECK_S` until reading goes on; a connection that has ended is aborted.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        disconnect: ClientDisconnect,
    ) -> None:
        """`disconnect` is the one of the transport's client."""
        super().__init__(transport)
        self._loop, self._disconnect = loop, disconnect
        self._timer: asyncio.TimerHandle | None = None

    def pause_reading(self) -> None:
        """Read no more for now."""
        super().pause_reading()
        self._schedule_check()

    def stop_watching(self) -> None:
        """Look at the socket no more: the client is known to have disconnected."""
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
