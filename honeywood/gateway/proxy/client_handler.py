"""Handles clients' requests: checks route, API key and body, then forwards the request."""

from __future__ import annotations

import asyncio

from honeywood.gateway.proxy.client_request import ClientRequest
from honeywood.gateway.proxy.client_response import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    NO_CONFIGURATION_RETRY_AFTER_S,
    NOT_FOUND,
    UNAUTHORIZED,
    UNAVAILABLE,
    ClientResponse,
    local_response,
)
from honeywood.gateway.routing.admission import ADMITTED_WITHOUT_TENANTS, Admission
from honeywood.gateway.rpc.asgi import read_body
from honeywood.gateway.rpc.request_context import CONTEXT

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from honeywood.gateway.configuration.model import Route
    from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
    from honeywood.gateway.proxy.forwarder import Forwarder
    from honeywood.gateway.proxy.request_counters import RequestCounters
    from honeywood.gateway.routing.route_table import RouteTable
    from honeywood.gateway.rpc.asgi import Receive, Scope

CHALLENGE = (b"www-authenticate", b"ApiKey")  # required in a 401 response (RFC 9110, 15.5.2)


class ClientHandler:
    """Answers clients' requests."""

    def __init__(
        self, configuration: ActiveConfiguration, forwarder: Forwarder, counters: RequestCounters
    ) -> None:
        """Builds the handler; `counters` count the requests that it rejects."""
        self.configuration = configuration
        self.forwarder = forwarder
        self.counters = counters
        self._tasks: set[asyncio.Task[ClientResponse]] = set()  # the event loop has only weak references

    async def handle(self, scope: Scope, receive: Receive) -> ClientResponse:
        """Returns the response to a request, whose body is read first."""
        table = self.configuration.table
        if table is None:
            return self._reject(UNAVAILABLE, "no configuration yet", NO_CONFIGURATION_RETRY_AFTER_S)
        fields = dict(scope["headers"])
        route = _find_route(table, scope, fields)
        if route is None:
            return self._reject(NOT_FOUND, "no route")
        admission = _admit(table, route, scope)
        if admission is None:
            response = self._reject(UNAUTHORIZED, "no known key")
            response.headers.append(CHALLENGE)
            return response
        body = await read_body(receive, self.configuration.limits.body_bytes)
        if body is None and scope[CONTEXT].disconnect.happened:
            return self._reject(BAD_REQUEST, "its client left before its end")
        if body is None:
            return self._reject(BODY_TOO_LARGE, "the body is too long")
        return await self._forward(scope, fields, route, admission, body)

    def begin_early(self, scope: Scope) -> asyncio.Task[ClientResponse] | None:
        """Starts a pipelined request before the requests in front of it are answered.

        Returns None for a request that is not idempotent or has a body, or that would be rejected.
        """
        fields, table = dict(scope["headers"]), self.configuration.table
        if fields.get(b"content-length", b"0") != b"0" or b"transfer-encoding" in fields or table is None:
            return None
        route = _find_route(table, scope, fields)
        admission = _admit(table, route, scope) if route is not None and route.idempotent else None
        if route is None or admission is None:
            return None
        return self._start_task(self._forward(scope, fields, route, admission, b""))

    def _start_task(self, work: Coroutine[Any, Any, ClientResponse]) -> asyncio.Task[ClientResponse]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _reject(self, status: int, reason: str, retry_after_s: float | None = None) -> ClientResponse:
        """Returns the response to a request that is not forwarded, and counts the request by `reason`."""
        self.counters.not_forwarded(reason)
        return local_response(status, reason, retry_after_s)

    async def _forward(
        self, scope: Scope, fields: dict[bytes, bytes], route: Route, admission: Admission, body: bytes
    ) -> ClientResponse:
        context = scope[CONTEXT]
        request = ClientRequest(
            scope["method"].encode(),
            context.target,
            scope["headers"],
            fields,
            body,
            context.disconnect,
            context.received_at,
            admission,
        )
        response = await self.forwarder.forward(route, request)
        if response.remainder is not None and route.idempotent:  # it may wait for earlier responses
            context.disconnect.subscribe(response.remainder.abandon)
        return response


def _find_route(table: RouteTable, scope: Scope, fields: dict[bytes, bytes]) -> Route | None:
    return table.find(fields.get(b"host", b""), scope["raw_path"])


def _admit(table: RouteTable, route: Route, scope: Scope) -> Admission | None:
    """Returns the Admission of a request on `route`, None if it needs a known key and has none."""
    if table.tenants is None:
        return ADMITTED_WITHOUT_TENANTS
    return table.tenants.admit(scope["headers"], route.public)
