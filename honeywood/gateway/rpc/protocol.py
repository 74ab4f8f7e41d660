"""One client's connection to a listener: uvicorn's HTTP/1.1 protocol with limits and pipelining.

It adds three features to uvicorn's protocol:

- The application's limits apply to the size of a head and to the time that a client takes to send a request.
  Requests that exceed them are answered with 408 or 431 (RFC 9110 and RFC 6585).
- Heads that another HTTP implementation may read differently are rejected.
- The application may start pipelined requests before earlier requests of the connection are answered
  (RFC 9112, section 9.3.2). Responses are still sent in the order of the requests.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import cast

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
from honeywood.gateway.rpc.flow_control import DisconnectWatchingFlowControl
from honeywood.gateway.rpc.headers import CALL_ID
from honeywood.gateway.rpc.request_context import CONTEXT, RequestContext
from honeywood.gateway.rpc.request_head import HeadSize, reject_ambiguous
from honeywood.gateway.rpc.response_transport import ResponseTransport
from honeywood.gateway.rpc.socket_state import peer_has_closed

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    from honeywood.gateway.rpc.asgi import Application, Scope

MAX_PIPELINED_REQUESTS = 16  # of one connection that may wait behind the request being answered
EARLY_METHODS = ("GET", "HEAD")
LINGER_S = 1.0  # after the last response of a connection, in which bytes are read and discarded
CLOSING_HEADERS = b"content-length: 0\r\nconnection: close\r\n\r\n"


class HttpProtocol(HttpToolsProtocol):
    """One client's connection."""

    flow: DisconnectWatchingFlowControl
    timeout_keep_alive: float  # type: ignore[assignment]  # uvicorn's has whole seconds

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Set up the connection, which is idle until its first byte is received."""
        super().connection_made(transport)
        self._application = cast("Application", self.config.app)
        self._head_size = HeadSize()
        self._disconnect = ClientDisconnect(lambda: peer_has_closed(transport.get_extra_info("socket")))
        self.flow = DisconnectWatchingFlowControl(transport, self.loop, self._disconnect)
        self._open_cycles: list[RequestResponseCycle] = []
        self._response_transport = ResponseTransport(transport, self._close_after_response)
        self._discards_input = False  # the connection is closed after the responses to open requests
        self._is_lingering = False  # the last response has been written
        self._idle_since = 0.0
        self._timer = self.loop.call_later(self._application.limits.idle_s, self._on_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer and notify all open requests that the connection has ended."""
        self._timer.cancel()
        self._client_disconnected()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Treat a client that sends nothing more as disconnected; the connection is closed."""
        self._client_disconnected()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and restart the time-out for what is expected next."""
        if self._discards_input:
            return
        limits = self._application.limits
        if self._is_idle and not self._head_size.size_bytes:  # the first bytes of a head
            self._restart_timer(limits.header_s)
        super().data_received(data)
        self._expect_body()

    def _client_disconnected(self) -> None:
        """Notify all open requests of this connection that the client has disconnected."""
        self.flow.stop_watching()
        for cycle in self._open_cycles:
            cycle.disconnected = True
            cycle.message_event.set()
        self._open_cycles.clear()
        self._disconnect.notify(self.loop.time())

    @property
    def _is_idle(self) -> bool:
        """Whether no request is in progress."""
        return self.cycle is None or self.cycle.response_complete

    @property
    def _is_reading_body(self) -> bool:
        """Whether the latest request's body is incomplete and its response has not been started."""
        return self.cycle is not None and self.cycle.more_body and not self.cycle.response_started

    # Time-outs
    def _restart_timer(self, timeout_s: float) -> None:
        """Give the client `timeout_s` seconds to send the next part of a request."""
        self._timer.cancel()
        self._timer = self.loop.call_later(timeout_s, self._on_timeout)

    def _expect_body(self) -> None:
        """Start the time-out for the rest of the current request's body, if that is being read.

        None runs for a request that is queued: the client waits as well, because reading is paused.
        """
        if self._is_reading_body and not self.pipeline and not self.transport.is_closing():
            self._restart_timer(self._application.limits.idle_s)

    def _on_timeout(self) -> None:
        """Close the connection: no complete head or no further part of a body was received in time."""
        if self._head_size.size_bytes or self._is_reading_body:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.transport.close()

    def on_response_complete(self) -> None:
        """Start the idle time-out of the limits in force, unless another pipelined request is waiting."""
        if self._is_lingering:
            return
        self._idle_since, self.timeout_keep_alive = self.loop.time(), self._application.limits.idle_s
        super().on_response_complete()
        self._expect_body()

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that has been idle for too long.

        It is closed once both the `idle_s` in force when it became idle and the current `idle_s` have passed,
        since clients may rely on either. A connection becomes idle when its response has been sent entirely.
        """
        now = self.loop.time()
        if self.transport.get_write_buffer_size():
            self._idle_since = now
        left_s = self._idle_since + self._application.limits.idle_s - now
        if left_s > 0:
            self.timeout_keep_alive_task = self.loop.call_later(left_s, self.timeout_keep_alive_handler)
        else:
            super().timeout_keep_alive_handler()

    # Rejections
    def send_400_response(self, msg: str) -> None:
        """Reject a request that cannot be parsed or is too large; uvicorn calls this after a parser error."""
        too_large = self._head_size.is_exceeded
        self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE if too_large else HTTPStatus.BAD_REQUEST)

    def _reject(self, status: HTTPStatus) -> None:
        """Reject the latest request and close the connection, after the responses to requests before it."""
        self._timer.cancel()
        if self._is_idle or (self._is_reading_body and not self.pipeline):
            if not self._response_transport.is_closing():
                self._response_transport.write(STATUS_LINE[status] + CLOSING_HEADERS)
            self._response_transport.close()
            self._client_disconnected()  # the client can no longer receive a response
        else:
            self._close_after_open_requests()

    def _close_after_open_requests(self) -> None:
        """Read nothing more; close the connection once the complete requests are answered.

        Without its response, a client may take a request that runs for one that was not read.
        """
        self._discards_input = True
        if self.pipeline and self.cycle.more_body:  # the rejected request; the client may send it again
            self.pipeline.popleft()
            self._open_cycles.remove(self.cycle)
            self.cycle = self._open_cycles[-1]
        self.cycle.keep_alive = False

    def _close_after_response(self) -> None:
        """End the stream after the last response; read and discard what the client sends until it closes.

        Closing a connection with unread bytes resets it, and the client may lose the response (RFC 9112,
        section 9.6).
        """
        if self._is_lingering or self.transport.is_closing():
            return
        self._is_lingering = self._discards_input = True
        self._timer.cancel()
        self._timer = self.loop.call_later(LINGER_S, self.transport.close)
        self.flow.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset the connection, which was not read yet
            self.transport.close()

    # Callbacks of the parser; uvicorn calls send_400_response if one raises
    def on_url(self, url: bytes) -> None:
        """Process a part of a request's target; raises RequestRejected if the head is too large."""
        self._head_size.add_target(url, self._application.limits.header_bytes)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header; raises RequestRejected if the head is too large."""
        self._head_size.add_header(name, value, self._application.limits.header_bytes)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start or queue a request whose head is complete.

        Raises RequestRejected if its head is ambiguous.
        """
        self._timer.cancel()
        self._head_size = HeadSize()
        reject_ambiguous(self.url, self.headers)
        scope = cast("Scope", self.scope)
        scope[CONTEXT] = RequestContext(self.url, self._disconnect, self._has_begun_early)
        super().on_headers_complete()
        self.cycle.transport = self._response_transport  # type: ignore[assignment]
        self._open_cycles = [cycle for cycle in self._open_cycles if not cycle.response_complete]
        self._open_cycles.append(self.cycle)
        self._echo_call_id()
        if self.pipeline and self.pipeline[0][0] is self.cycle:
            self._begin_early(scope)

    def on_message_complete(self) -> None:
        """Record when a request is complete; its deadline counts from then, even while it is queued."""
        self._timer.cancel()
        context_of(self.cycle).received_at = self.loop.time()
        super().on_message_complete()

    def _echo_call_id(self) -> None:
        """Add the id of a call between programs to its response, so that no application has to do it."""
        for name, value in self.headers:
            if name == CALL_ID:
                self.cycle.default_headers = [*self.cycle.default_headers, (name, value)]
                return

    # Pipelining
    def _begin_early(self, scope: Scope) -> None:
        """Let the application start a pipelined request before earlier ones are answered, if it wants to."""
        if scope["method"] not in EARLY_METHODS:
            return
        context_of(self.cycle).early_response = self._application.begin_early(scope)
        if len(self.pipeline) < MAX_PIPELINED_REQUESTS:
            self.flow.resume_reading()

    def _has_begun_early(self) -> bool:
        """Return whether the application has started a pipelined request before earlier ones are answered.

        An endpoint may already be processing it; if an earlier response closed the connection, its response
        would be lost.
        """
        return any(context_of(cycle).early_response is not None for cycle, _ in self.pipeline)

    def shutdown(self) -> None:
        """Close the connection after the current response and those of pipelined requests already started."""
        if not (self._is_lingering or self._has_begun_early()):
            super().shutdown()


def context_of(cycle: RequestResponseCycle) -> RequestContext:
    """Return the context of the request that belongs to `cycle`."""
    context: RequestContext = cast("Scope", cycle.scope)[CONTEXT]
    return context
