"""One client's connection to a listener: uvicorn's HTTP/1.1 protocol with bounds and pipelining.

Three things are added. The application's limits bound what a client may send and how long it may take
(answered with 408 or 431, RFC 9110 and RFC 6585). Heads that another reader might read otherwise are
rejected. The application may begin with requests that stand behind another of the connection (pipelining,
RFC 9112, section 9.3.2); responses leave in order all the same.
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
from honeywood.gateway.rpc.socket_state import peer_has_closed

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    from honeywood.gateway.rpc.asgi import Application, Scope

MAX_PIPELINED_REQUESTS = 16  # of one connection that are begun before the first is answered
EARLY_METHODS = ("GET", "HEAD")
CLOSING_HEADERS = b"content-length: 0\r\nconnection: close\r\n\r\n"


class HttpProtocol(HttpToolsProtocol):
    """One client's connection."""

    flow: DisconnectWatchingFlowControl
    timeout_keep_alive: float  # type: ignore[assignment]  # uvicorn's own come in whole seconds

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin with a client's connection, which is idle until its first byte."""
        super().connection_made(transport)
        self._application = cast("Application", self.config.app)
        self._head_size = HeadSize()
        self._disconnect = ClientDisconnect(lambda: peer_has_closed(transport.get_extra_info("socket")))
        self.flow = DisconnectWatchingFlowControl(transport, self.loop, self._disconnect)
        self._open_cycles: list[RequestResponseCycle] = []
        self._idle_since = 0.0
        self._timer = self.loop.call_later(self._application.limits.idle_s, self._on_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is open for the client: its connection has ended."""
        self._timer.cancel()
        self._client_disconnected()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Take the client for disconnected: it sends no more, and the connection ends."""
        self._client_disconnected()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        limits = self._application.limits
        if self._is_idle and not self._head_size.size_bytes:  # a head begins
            self._restart_timer(limits.header_s)
        super().data_received(data)
        if self._is_reading_body and not self.transport.is_closing():
            self._restart_timer(limits.idle_s)

    def _client_disconnected(self) -> None:
        """Tell everything that is open on this connection that nobody waits for its response."""
        self.flow.stop_watching()
        for cycle in self._open_cycles:
            cycle.disconnected = True
            cycle.message_event.set()
        self._open_cycles.clear()
        self._disconnect.notify(self.loop.time())

    @property
    def _is_idle(self) -> bool:
        """Whether no request is being answered."""
        return self.cycle is None or self.cycle.response_complete

    @property
    def _is_reading_body(self) -> bool:
        """Whether a request has begun whose body is incomplete, and whose response hasn't begun."""
        return self.cycle is not None and self.cycle.more_body and not self.cycle.response_started

    # Time-outs
    def _restart_timer(self, timeout_s: float) -> None:
        """Give the client so long for what is to come next."""
        self._timer.cancel()
        self._timer = self.loop.call_later(timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        """End the connection: no complete head or no more of a body came in time."""
        if self._head_size.size_bytes or self._is_reading_body:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        self.transport.close()

    def on_response_complete(self) -> None:
        """Become idle, if no request stands behind, for as long as the limits in force allow."""
        self._idle_since, self.timeout_keep_alive = self.loop.time(), self._application.limits.idle_s
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """End a connection that has been idle for long enough.

        That is for as long as the limits allowed when it became idle and allow now, since clients may go by
        either. It becomes idle when the response has left.
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
        """Reject what can't be parsed or is over a limit; uvicorn calls this after a parser's error."""
        too_large = self._head_size.is_exceeded
        self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE if too_large else HTTPStatus.BAD_REQUEST)

    def _reject(self, status: HTTPStatus) -> None:
        """End the connection, with a response unless that would stand between those to other requests."""
        self._timer.cancel()
        alone = self._is_idle or (self._is_reading_body and not self.pipeline)
        if alone and not self.transport.is_closing():
            self.transport.write(STATUS_LINE[status] + CLOSING_HEADERS)
        self.transport.close()
        self._client_disconnected()  # no response to what is being answered reaches it any more

    # Callbacks of the parser, whose errors end up in send_400_response
    def on_url(self, url: bytes) -> None:
        """Take a part of a request's target; raises RequestRejected."""
        self._head_size.add_target(url, self._application.limits.header_bytes)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; raises RequestRejected."""
        self._head_size.add_header(name, value, self._application.limits.header_bytes)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin with a request, at once or behind others, as its head is complete; raises RequestRejected."""
        self._timer.cancel()
        self._head_size = HeadSize()
        reject_ambiguous(self.url, self.headers)
        scope = cast("Scope", self.scope)
        scope[CONTEXT] = RequestContext(self.url, self._disconnect, self._has_begun_early)
        super().on_headers_complete()
        self._open_cycles = [cycle for cycle in self._open_cycles if not cycle.response_complete]
        self._open_cycles.append(self.cycle)
        self._echo_call_id()
        if self.pipeline and self.pipeline[0][0] is self.cycle:
            self._begin_early(scope)

    def on_message_complete(self) -> None:
        """Note when a request is complete: it may stand behind another while its client's time passes."""
        self._timer.cancel()
        context_of(self.cycle).received_at = self.loop.time()
        super().on_message_complete()

    def _echo_call_id(self) -> None:
        """Put the id of a call between programs on its response: here, so that no application forgets it."""
        for name, value in self.headers:
            if name == CALL_ID:
                self.cycle.default_headers = [*self.cycle.default_headers, (name, value)]
                return

    # Pipelining
    def _begin_early(self, scope: Scope) -> None:
        """Let the application begin with a request that stands behind another, if it wants to."""
        if scope["method"] not in EARLY_METHODS:
            return
        context_of(self.cycle).early_response = self._application.begin_early(scope)
        if len(self.pipeline) < MAX_PIPELINED_REQUESTS:
            self.flow.resume_reading()

    def _has_begun_early(self) -> bool:
        """Return whether a request that stands behind another has been begun.

        It may be at an endpoint, and a response before it that ends the connection would cut it off.
        """
        return any(context_of(cycle).early_response is not None for cycle, _ in self.pipeline)

    def shutdown(self) -> None:
        """End the connection after the current response, or after those that have begun behind it."""
        if not self._has_begun_early():
            super().shutdown()


def context_of(cycle: RequestResponseCycle) -> RequestContext:
    """Return the context of the request that a cycle answers."""
    context: RequestContext = cast("Scope", cycle.scope)[CONTEXT]
    return context
