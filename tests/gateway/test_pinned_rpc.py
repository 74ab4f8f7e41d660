"""Bytes on sockets that must stay: a listener's answers and refusals, the calls of a caller, and exchanges.

Every case is played over loopback with the real server, caller or connection against a raw socket, and
compared with what commit ae67546 sent and reported (recorded/rpc_*.json, bytes as Latin-1 text). Names that
a refactoring changes stand in the section of accessors only.
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
SAFETY_S = 10.0  # far beyond any exchange here; a hung one fails
BODY_LIMIT = 64  # bytes of a request's body that the scripted application takes
CALLER_NAME = "0123456789ab"
IP = "127.0.0.1"


# Accessors of the code under test.
def make_server(application: Any) -> Any:
    return server.HttpServer(application)


async def read_body(receive: Any, limit: int) -> bytes | None:
    return await asgi.read_body(receive, limit)


async def send_response(send: Any, status: int, headers: list, body: bytes) -> None:
    await asgi.send_response(send, status, headers, body)


async def send_stream(send: Any, status: int, headers: list, chunks: Any) -> None:
    await asgi.stream_response(send, status, headers, chunks)


def others_begun(scope: dict) -> bool:
    return scope[request_context.CONTEXT].others_begun()


def early_response(scope: dict) -> Any:
    return scope[request_context.CONTEXT].early_response


def raw_target(scope: dict) -> bytes:
    return scope[request_context.CONTEXT].target


def make_caller() -> Any:
    made = client.Caller()
    made.name = CALLER_NAME
    return made


def bytes_by_path(caller: Any) -> dict[str, int]:
    return dict(caller.bytes_by_path)


async def call(caller: Any, port: int, path: str, body: Any, within_s: float, idempotent: bool) -> dict:
    """What a call came to: a value, or the failure's operation, reason, peer and status."""
    try:
        return {"value": await caller.call(IP, port, path, body, within_s, idempotent)}
    except GatewayError as error:
        peer = error.peer.replace(str(port), "PORT")
        found = {"operation": error.operation, "reason": error.reason, "peer": peer}
        return {**found, "status": status_of(error)}


async def open_connection(port: int) -> Any:
    return await connection.Connection.open(IP, port, 1.0)


async def exchange(opened: Any, request: dict, until: float) -> Any:
    """The reply to a request of the recorded form, or the failure."""
    headers = [(latin(name), latin(value)) for name, value in request["headers"]]
    expected = tuple(latin(part) for part in request["expected"]) if "expected" in request else None
    method, target, body = (latin(request[key]) for key in ("method", "target", "body"))
    return await opened.exchange(method, target, headers, body, until, request["hold"], expected)


async def read_on(opened: Any, until: float, hold: int) -> Any:
    return await opened.read_on(until, hold)


async def reply_of(found: Any) -> dict:
    """A reply, read to its end, or what is known of the failure."""
    if isinstance(found, reply.ExchangeFailure):
        return {"reason": found.reason, "sent": found.sent, "timed_out": found.timed_out}
    rest = None
    if found.remainder is not None:
        rest = (b"".join([chunk async for chunk in found.remainder])).decode("latin-1")
    headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in found.headers]
    body = found.body.decode("latin-1")
    return {
        "status": found.status,
        "headers": headers,
        "body": body if rest is None else len(body + rest),
        "passed_on": rest is not None,
        "surplus": found.surplus,
    }


def state_of(opened: Any) -> dict:
    return {
        "reusable": opened.reusable,
        "ended": opened.ended,
        "keep_alive_s": opened.keep_alive_s,
    }


def end_to_end(fields: list) -> list:
    return header_module.end_to_end(fields)


def make_program(role: str, folder: str) -> tuple[Any, dict[str, int]]:
    """A controller or proxy that runs no loops, and its ports by what comes in there."""
    ports = [free_port() for _ in range(4)]
    settings = read_settings(settings_text("127.0.0.1", data=folder, ports=(*ports, ports[3] + 3)))
    program = {"controller": Controller, "proxy": Proxy}[role]
    made = program(settings, log=SilentLog())
    inside = settings.controller_port if role == "controller" else settings.proxy_port
    return made, {"http": ports[0], "ready": ports[1], "operators": ports[2], "inside": inside}


# What plays the cases.
def latin(text: str) -> bytes:
    return text.encode("latin-1")


class Application:
    """Answers by path: a status, the body, a stream; begins early with what stands behind another."""

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
            body = b"begun" if others_begun(scope) else b"alone"
            return await send_response(send, 200, [], body)
        if kind == "early":
            found = early_response(scope)
            return await send_response(send, 200, [], b"late" if found is None else await found)
        if kind == "target":
            return await send_response(send, 200, [], raw_target(scope))
        body = await read_body(receive, BODY_LIMIT)
        if body is None:
            return await send_response(send, 413, [], b"")
        return await send_response(send, 200, [(b"content-type", b"application/json")], body)

    async def chunks(self) -> Any:
        yield b"one"
        yield b"two"


async def received(case: dict) -> list[str]:
    """What a client gets for each step of a case: up to `until`, the last until the connection ends."""
    found, port = [], free_port()
    listening = make_server(Application(case.get("limits", {})))
    await listening.open([(IP, port)])
    reader, writer = await asyncio.open_connection(IP, port)
    try:
        async with asyncio.timeout(SAFETY_S):
            for step in case["steps"]:
                writer.write(latin(step["send"]))
                if "until" in step:
                    found.append(await reader.readuntil(latin(step["until"])))
                else:
                    found.append(await reader.read(-1))
    finally:
        writer.close()
        await listening.close(1.0)
    return [part.decode("latin-1") for part in found]


async def answered(case: dict) -> str:
    """What a program that has just started, without a configuration, answers to a case's request."""
    with tempfile.TemporaryDirectory() as folder:
        program, ports = make_program(case["role"], folder)
        listening, port = make_server(program.app), ports[case["port"]]
        await listening.open([(IP, port)])
        reader, writer = await asyncio.open_connection(IP, port)
        try:
            async with asyncio.timeout(SAFETY_S):
                writer.write(latin(case["send"]))
                return (await reader.read(-1)).decode("latin-1")
        finally:
            writer.close()
            await listening.close(1.0)


class RawPeer:
    """Reads whole requests and answers each with the next script, over all of its connections."""

    def __init__(self, scripts: list[dict]) -> None:
        self.scripts, self.requests, self.connections, self.ended = list(scripts), [], 0, asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connections = self.connections, self.connections + 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = [line.lower() for line in head.split(b"\r\n")]
                size = sum(int(line[15:]) for line in lines if line.startswith(b"content-length:"))
                whole = head + await reader.readexactly(size)
                self.requests.append({"connection": number, "bytes": self.hide_port(whole)})
                script = self.scripts.pop(0)
                writer.write(latin(script["write"]) + b"x" * script.get("filled", 0))
                if script.get("end"):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    def hide_port(self, whole: bytes) -> str:
        return whole.decode("latin-1").replace(f"{IP}:{self.port}", f"{IP}:PORT")

    @asynccontextmanager
    async def listening(self) -> Any:
        self.port = free_port()
        opened = await asyncio.start_server(self.serve, IP, self.port)
        try:
            yield self
        finally:
            opened.close()


async def calls(case: dict) -> dict:
    """What a peer gets of a case's calls, and what the calls come to."""
    caller, results = make_caller(), []
    async with RawPeer(case["answers"]).listening() as peer:
        for one in case["calls"]:
            given = one["path"], one["body"], one["within_s"], one["again"]
            results.append(await call(caller, peer.port, *given))
    return {"requests": peer.requests, "results": results, "bytes": bytes_by_path(caller)}


async def exchanges(case: dict) -> dict:
    """What a peer gets of a case's exchanges on one connection, and what these come to."""
    loop, replies = asyncio.get_running_loop(), []
    async with RawPeer(case["answers"]).listening() as peer:
        opened = await open_connection(peer.port)
        for request in case["exchanges"]:
            until = loop.time() + request["within_s"]
            if request.get("read_on"):
                found = await read_on(opened, until, request["hold"])
            else:
                found = await exchange(opened, request, until)
            replies.append({**await reply_of(found), **state_of(opened)})
        opened.close()
    return {"requests": peer.requests, "replies": replies}


def recorded(name: str) -> list[dict]:
    return json.loads((RECORDED / f"{name}.json").read_text())


def named(name: str) -> dict:
    """A test's parameters: each case under its name."""
    cases = recorded(name)
    return {"case": each(*cases), "name": each(*[case["name"] for case in cases])}


@test("a listener's bytes stay: {name}")
def _(case=named("rpc_server")["case"], name=named("rpc_server")["name"]):
    assert asyncio.run(received(case)) == case["received"]


@test("a program's answer stays: {name}")
def _(case=named("rpc_programs")["case"], name=named("rpc_programs")["name"]):
    assert asyncio.run(answered(case)) == case["received"]


@test("a call's bytes and result stay: {name}")
def _(case=named("rpc_calls")["case"], name=named("rpc_calls")["name"]):
    assert asyncio.run(calls(case)) == case["expected"]


@test("an exchange's bytes and reply stay: {name}")
def _(case=named("rpc_exchanges")["case"], name=named("rpc_exchanges")["name"]):
    assert asyncio.run(exchanges(case)) == case["expected"]


@test("headers that concern one connection are left out as they were: {number}")
def _(number=each(*range(len(recorded("rpc_headers"))))):
    case = recorded("rpc_headers")[number]
    headers = [(latin(name), latin(value)) for name, value in case["headers"]]
    kept = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in end_to_end(headers)]
    assert kept == case["kept"]
