"""Regression tests of the bytes on sockets: a listener's responses, a caller's calls, and exchanges.

Every case runs the real server, caller or connection over loopback against a raw socket. The result is
compared with what commit ae67546 sent and reported (recorded/rpc_*.json, bytes as Latin-1 text). Only the
section of accessors uses names of the code that a refactoring may change.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from ports import free_port
from ward import each, test

from honeywood.gateway.configuration.model import Limits
from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.controller.program import Controller
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.rpc import asgi, client, connection, reply, request_context, server
from honeywood.gateway.rpc import headers as header_module
from honeywood.gateway.rpc.statuses import status_of
from honeywood.lab.emulator.boot import settings_text
from honeywood.lab.emulator.silent_log import SilentLog

RECORDED = Path(__file__).resolve().parent / "recorded"
TEST_TIMEOUT_S = 10.0  # far longer than any exchange here; one that hangs fails the test
MAX_BODY_BYTES = 64  # of a request's body that the scripted application accepts
CALLER_NAME = "0123456789ab"
IP = "127.0.0.1"


# Accessors of the code under test.
def make_server(application: Any) -> Any:
    return server.HttpServer(application)


async def read_body(receive: Any, max_bytes: int) -> bytes | None:
    return await asgi.read_body(receive, max_bytes)


async def send_response(send: Any, status: int, headers: list, body: bytes) -> None:
    await asgi.send_response(send, status, headers, body)


async def send_stream(send: Any, status: int, headers: list, chunks: Any) -> None:
    await asgi.stream_response(send, status, headers, chunks)


def later_requests_begun(scope: dict) -> bool:
    return scope[request_context.CONTEXT].later_requests_begun()


def early_response(scope: dict) -> Any:
    return scope[request_context.CONTEXT].early_response


def raw_target(scope: dict) -> bytes:
    return scope[request_context.CONTEXT].target


def make_caller() -> Any:
    caller = client.Caller()
    caller.name = CALLER_NAME
    return caller


def bytes_by_path(caller: Any) -> dict[str, int]:
    return dict(caller.bytes_by_path)


async def call(caller: Any, port: int, path: str, body: Any, timeout_s: float, idempotent: bool) -> dict:
    """Return the result of a call: its value, or the failure's operation, reason, peer and status."""
    try:
        return {"value": await caller.call(IP, port, path, body, timeout_s, idempotent)}
    except GatewayError as error:
        peer = error.peer.replace(str(port), "PORT")
        failure = {"operation": error.operation, "reason": error.reason, "peer": peer}
        return {**failure, "status": status_of(error)}


async def open_connection(port: int) -> Any:
    return await connection.Connection.open(IP, port, 1.0)


async def exchange(peer_connection: Any, request: dict, deadline: float) -> Any:
    """Return the reply to a request of the recorded form, or the failure."""
    headers = [(latin1_bytes(name), latin1_bytes(value)) for name, value in request["headers"]]
    expected = tuple(latin1_bytes(part) for part in request["expected"]) if "expected" in request else None
    method, target, body = (latin1_bytes(request[key]) for key in ("method", "target", "body"))
    return await peer_connection.exchange(method, target, headers, body, deadline, request["hold"], expected)


async def read_next_reply(peer_connection: Any, deadline: float, max_buffered_bytes: int) -> Any:
    return await peer_connection.read_next_reply(deadline, max_buffered_bytes)


async def describe_reply(result: Any) -> dict:
    """Read a reply to its end and return it in the recorded form, or the details of a failure."""
    if isinstance(result, reply.ExchangeFailure):
        return {"reason": result.reason, "sent": result.sent, "timed_out": result.timed_out}
    rest = None
    if result.remainder is not None:
        rest = (b"".join([chunk async for chunk in result.remainder])).decode("latin-1")
    headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in result.headers]
    body = result.body.decode("latin-1")
    return {
        "status": result.status,
        "headers": headers,
        "body": body if rest is None else len(body + rest),
        "passed_on": rest is not None,
        "surplus": result.surplus,
    }


def state_of(peer_connection: Any) -> dict:
    return {
        "reusable": peer_connection.reusable,
        "ended": peer_connection.ended,
        "keep_alive_s": peer_connection.keep_alive_s,
    }


def end_to_end(fields: list) -> list:
    return header_module.end_to_end(fields)


def make_program(role: str, folder: str) -> tuple[Any, dict[str, int]]:
    """Return a controller or proxy without its background tasks, and its ports by their purpose."""
    ports = [free_port() for _ in range(4)]
    settings = read_settings(settings_text("127.0.0.1", data=folder, ports=(*ports, ports[3] + 3)))
    program_type = {"controller": Controller, "proxy": Proxy}[role]
    program = program_type(settings, log=SilentLog())
    internal_port = settings.controller_port if role == "controller" else settings.proxy_port
    return program, {"http": ports[0], "ready": ports[1], "operators": ports[2], "inside": internal_port}


# Running of the cases.
def latin1_bytes(text: str) -> bytes:
    return text.encode("latin-1")


class Application:
    """Responds as the request's path says; starts pipelined requests to /early before their turn."""

    def __init__(self, limits: dict) -> None:
        self.limits = Limits(**limits)

    def begin_early(self, scope: dict) -> asyncio.Future | None:
        if not scope["path"].startswith("/early"):
            return None
        ready = asyncio.get_running_loop().create_future()
        ready.set_result(b"early")
        return ready

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        kind, _, rest = scope["path"].strip("/").partition("/")
        if kind == "status":
            return await send_response(send, int(rest), [(b"x-kind", b"status")], b"status " + rest.encode())
        if kind == "empty":
            return await send_response(send, int(rest), [], b"")
        if kind == "stream":
            return await send_stream(send, 200, [], self.chunks())
        if kind == "sized":
            return await send_stream(send, 200, [(b"content-length", b"6")], self.chunks())
        if kind == "behind":
            body = b"begun" if later_requests_begun(scope) else b"alone"
            return await send_response(send, 200, [], body)
        if kind == "early":
            early = early_response(scope)
            return await send_response(send, 200, [], b"late" if early is None else await early)
        if kind == "target":
            return await send_response(send, 200, [], raw_target(scope))
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return await send_response(send, 413, [], b"")
        return await send_response(send, 200, [(b"content-type", b"application/json")], body)

    async def chunks(self) -> Any:
        yield b"one"
        yield b"two"


async def received_by_client(case: dict) -> list[str]:
    """Return what a client receives in each step: up to the step's `until`, or until the connection ends."""
    received, port = [], free_port()
    listening = make_server(Application(case.get("limits", {})))
    await listening.open([(IP, port)])
    reader, writer = await asyncio.open_connection(IP, port)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for step in case["steps"]:
                writer.write(latin1_bytes(step["send"]))
                if "until" in step:
                    received.append(await reader.readuntil(latin1_bytes(step["until"])))
                else:
                    received.append(await reader.read(-1))
    finally:
        writer.close()
        await listening.close(1.0)
    return [part.decode("latin-1") for part in received]


async def program_response(case: dict) -> str:
    """Return the response of a newly started program without a configuration to a case's request."""
    with tempfile.TemporaryDirectory() as folder:
        program, ports = make_program(case["role"], folder)
        listening, port = make_server(program.app), ports[case["port"]]
        await listening.open([(IP, port)])
        reader, writer = await asyncio.open_connection(IP, port)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                writer.write(latin1_bytes(case["send"]))
                return (await reader.read(-1)).decode("latin-1")
        finally:
            writer.close()
            await listening.close(1.0)


class RawPeer:
    """Answers each complete request with the next script, whichever connection it arrives on."""

    def __init__(self, scripts: list[dict]) -> None:
        self.scripts, self.requests, self.connections, self.ended = list(scripts), [], 0, asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connections = self.connections, self.connections + 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = [line.lower() for line in head.split(b"\r\n")]
                size = sum(int(line[15:]) for line in lines if line.startswith(b"content-length:"))
                request = head + await reader.readexactly(size)
                self.requests.append({"connection": number, "bytes": self.hide_port(request)})
                script = self.scripts.pop(0)
                writer.write(latin1_bytes(script["write"]) + b"x" * script.get("filled", 0))
                if script.get("end"):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    def hide_port(self, request: bytes) -> str:
        return request.decode("latin-1").replace(f"{IP}:{self.port}", f"{IP}:PORT")

    @asynccontextmanager
    async def listening(self) -> Any:
        self.port = free_port()
        listener = await asyncio.start_server(self.serve, IP, self.port)
        try:
            yield self
        finally:
            listener.close()


async def run_calls(case: dict) -> dict:
    """Make a case's calls; return the requests that the peer receives, and the results."""
    caller, results = make_caller(), []
    async with RawPeer(case["answers"]).listening() as peer:
        for entry in case["calls"]:
            arguments = entry["path"], entry["body"], entry["within_s"], entry["again"]
            results.append(await call(caller, peer.port, *arguments))
    return {"requests": peer.requests, "results": results, "bytes": bytes_by_path(caller)}


async def run_exchanges(case: dict) -> dict:
    """Make a case's exchanges on one connection; return the requests the peer receives, and the replies."""
    loop, replies = asyncio.get_running_loop(), []
    async with RawPeer(case["answers"]).listening() as peer:
        peer_connection = await open_connection(peer.port)
        for request in case["exchanges"]:
            deadline = loop.time() + request["within_s"]
            if request.get("read_on"):
                result = await read_next_reply(peer_connection, deadline, request["hold"])
            else:
                result = await exchange(peer_connection, request, deadline)
            replies.append({**await describe_reply(result), **state_of(peer_connection)})
        peer_connection.close()
    return {"requests": peer.requests, "replies": replies}


def recorded_cases(name: str) -> list[dict]:
    return json.loads((RECORDED / f"{name}.json").read_text())


def parameters(name: str) -> dict:
    """Return a test's parameters: the recorded cases and their names."""
    cases = recorded_cases(name)
    return {"case": each(*cases), "name": each(*[case["name"] for case in cases])}


@test("a listener sends the recorded bytes: {name}")
def _(case=parameters("rpc_server")["case"], name=parameters("rpc_server")["name"]):
    assert asyncio.run(received_by_client(case)) == case["received"]


@test("a program sends the recorded response: {name}")
def _(case=parameters("rpc_programs")["case"], name=parameters("rpc_programs")["name"]):
    assert asyncio.run(program_response(case)) == case["received"]


@test("a call has the recorded bytes and result: {name}")
def _(case=parameters("rpc_calls")["case"], name=parameters("rpc_calls")["name"]):
    assert asyncio.run(run_calls(case)) == case["expected"]


@test("an exchange has the recorded bytes and reply: {name}")
def _(case=parameters("rpc_exchanges")["case"], name=parameters("rpc_exchanges")["name"]):
    assert asyncio.run(run_exchanges(case)) == case["expected"]


@test("hop-by-hop headers are removed as recorded: {number}")
def _(number=each(*range(len(recorded_cases("rpc_headers"))))):
    case = recorded_cases("rpc_headers")[number]
    headers = [(latin1_bytes(name), latin1_bytes(value)) for name, value in case["headers"]]
    kept = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in end_to_end(headers)]
    assert kept == case["kept"]
