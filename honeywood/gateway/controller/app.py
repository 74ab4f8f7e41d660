"""The controller's ASGI application: dispatches calls and sends their results and errors as responses."""

from __future__ import annotations

import json
from collections import Counter
from urllib.parse import parse_qs

from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.configuration.model import Limits
from honeywood.gateway.controller.call import Call, CallName
from honeywood.gateway.dissemination.messages import PollRequest
from honeywood.gateway.dissemination.record import PATH as POLL_PATH
from honeywood.gateway.errors import GatewayError, NotFound, PayloadTooLarge
from honeywood.gateway.register.message_fields import PATH as REGISTER_PATH
from honeywood.gateway.rpc.asgi import read_body, send_response
from honeywood.gateway.rpc.request_context import CONTEXT
from honeywood.gateway.rpc.statuses import status_of

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from honeywood.gateway.controller.operations import Answer, Handler, Operations
    from honeywood.gateway.controller.poll_service import PollService
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.metrics_endpoint import MetricsEndpoint
    from honeywood.gateway.rpc.asgi import Receive, Scope, Send

    RegisterResponder = Callable[[dict[str, Any], str], Awaitable[dict[str, Any]]]

BODY_MAX_BYTES = 8 << 20
RPC_PATH = "/v1/rpc"
METHOD = "POST"
JSON_HEADERS = [(b"content-type", b"application/json")]
OK = 200
REFUSAL_LOG_INTERVAL_S = 1.0
CALL_NAMES = frozenset(CallName)


class App:
    """Serves machines and operators at one address, and the gateway's own programs at an internal port."""

    limits = Limits()  # defaults: the only callers are machines, operators and the gateway's own programs

    def __init__(
        self,
        operations: Operations,
        polls: PollService,
        register: RegisterResponder,
        metrics: MetricsEndpoint,
        internal_port: int,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Serve the gateway's own programs at `internal_port`; `clock` returns monotonic seconds."""
        self.operations, self.polls, self.register = operations, polls, register
        self.metrics, self.internal_port, self.clock, self.log = metrics, internal_port, clock, log
        self.refused: Counter[str] = Counter()  # refused calls by call and status
        self.internal_handlers = {POLL_PATH: self.poll, REGISTER_PATH: self.register_step}

    def begin_early(self, scope: Scope) -> None:
        """Do nothing: the requests of one connection are answered one after the other."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a request."""
        if scope["server"][1] == self.metrics.port:
            await self.metrics.serve(scope, send)
            return
        peer = scope["client"][0]
        query = parse_qs(scope["query_string"].decode("latin-1"))
        name, subject = (query.get(key, [""])[0] for key in ("call", "of"))
        try:
            handler = self._handler(scope, name, peer)
            body = await read_body(receive, BODY_MAX_BYTES)
            if body is None:
                raise PayloadTooLarge(name, "the body is too long or broken off", peer)
            disconnect = scope[CONTEXT].disconnect
            result = await handler(Call(subject, body, peer, lambda: disconnect.check(self.clock())))
        except GatewayError as error:
            await self._refuse(send, error, name, peer)
        else:
            await send_response(send, OK, JSON_HEADERS, _encode(result))

    def _handler(self, scope: Scope, name: str, peer: str) -> Handler:
        """Return the handler of a request; raises NotFound if there is none."""
        path = "/" + scope["path"].strip("/")
        handler: Handler | None = None
        if scope["method"] == METHOD:
            if scope["server"][1] == self.internal_port:
                handler = self.internal_handlers.get(path)
            elif path == RPC_PATH:
                handler = self.operations.handlers.get(CallName(name)) if name in CALL_NAMES else None
        if handler is None:
            reason = f"no such call: {scope['method']} {scope['path']} {name}"
            raise NotFound("dispatch", reason, peer)
        return handler

    async def _refuse(self, send: Send, error: GatewayError, name: str, peer: str) -> None:
        """Count, log and answer a call that is refused."""
        status = status_of(error)
        self.refused[f"refused: {name or error.operation} {status}"] += 1
        self.log.info(
            "refused",
            min_interval_s=REFUSAL_LOG_INTERVAL_S,
            step=error.operation,
            peer=peer,
            why=error.reason,
            status=status,
        )
        body = json.dumps({"step": error.operation, "peer": peer, "why": error.reason}).encode()
        await send_response(send, status, JSON_HEADERS, body)

    async def poll(self, call: Call) -> Answer:
        """Answer a poll of the store by another program."""
        request = PollRequest.decode(read_json(call.body, POLL_PATH, call.peer), call.peer)
        return (await self.polls.answer(request, call.has_left)).encode()

    async def register_step(self, call: Call) -> Answer:
        """Answer a register protocol message of another controller."""
        reply: Answer = await self.register(read_json(call.body, REGISTER_PATH, call.peer), call.peer)
        return reply


def _encode(result: Answer) -> bytes:
    """Return the body of a response."""
    return result if isinstance(result, bytes) else json.dumps(result, separators=(",", ":")).encode()
