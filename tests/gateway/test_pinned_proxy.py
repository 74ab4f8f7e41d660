"""The bytes that a proxy sends, compared with those that commit ae67546 sent.

Covered are responses to clients, requests to machines, calls between proxies and to controllers, and the
metrics page. A proxy has no data folder, so there is no stored data to compare. Values that depend on time or
chance are masked, and the rest of each message is compared byte by byte. `recorded/proxy.json` contains the
recorded bytes as Latin-1 text, and long bodies as their length and hash. The names of the cases are those of
the recorded file.
"""

import asyncio
import json
import re
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from random import Random

from ports import free_port
from socket_scene import (
    GET,
    HEAD,
    Machine,
    close_connection,
    error_500,
    malformed,
    misdirected_421,
    mismatched_id,
    not_run_503,
    ok,
    truncated,
    unmarked_503,
)
from timeline import config
from ward import each, test

from honeywood.gateway.configuration.packing import pack_for_proxies
from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.rejection import RejectionReason
from honeywood.gateway.rpc.server import HttpServer
from honeywood.lab.emulator.boot import BOUNDS, settings_text
from honeywood.lab.emulator.silent_log import SilentLog

RECORDED = json.loads((Path(__file__).parent / "recorded" / "proxy.json").read_text())
MAX_RECORDED_BYTES = 2000  # of a body; a longer one is recorded as its length and hash
MASKS = (
    (re.compile(rb"(?<=x-deadline-ms: )\d+"), b"MS"),
    (re.compile(rb"(?<=x-call-id: )[0-9a-f]+-\d+"), b"CALL"),
    (re.compile(rb"(?<=host: 127.0.0.1:)\d+"), b"PORT"),
    (re.compile(rb'(?<="port":)\d{5}'), b"PORT"),
    (re.compile(rb'(?<=ms after their client"} )\d+'), b"MS"),
)


# Accessors: apart from the imports, only these use names of the program's code.
def make_proxy(text: str, frozen: bool) -> Proxy:
    """A proxy with the settings `text` and a fixed incarnation, which logs nothing."""
    now = asyncio.get_running_loop().time
    began_at = now()
    clock = (lambda: began_at) if frozen else now
    proxy = Proxy(read_settings(text), None, clock, lambda: 1.7e9, random=Random(1), log=SilentLog())
    proxy.server = HttpServer(proxy.app)
    return proxy


async def listen(proxy: Proxy) -> None:
    """Opens all listeners of a proxy."""
    settings = proxy.settings
    proxy.metrics_endpoint.port = free_port()
    await proxy.server.open([settings.listen.http, settings.listen.ready, (settings.ip, settings.proxy_port)])
    await proxy.metrics_endpoint.open(proxy.server)


def deliver(proxy: Proxy, key: str, value: object) -> None:
    """Puts a record into the proxy's store."""
    proxy.publisher.store.put(key, Stamp.of(1), value)


def stop(proxy: Proxy) -> None:
    proxy.stopping.set()


def confirm_quorum(proxy: Proxy) -> None:
    proxy.readiness.quorum_contacted = True


async def poll_once(proxy: Proxy) -> None:
    await proxy.poller._poll("127.0.0.1")


async def long_poll_once(proxy: Proxy) -> None:
    await proxy.subscription.poll_once()


def values_of(enumeration: type[RejectionReason] | type[AttemptOutcome]) -> list[str]:
    return sorted(str(member) for member in enumeration)


# Scripts of the machine.
async def not_found(id, writer):
    writer.write(
        b"HTTP/1.1 404 Not Found\r\nX-Try-Id: %s\r\nX-Seal: s\r\nConnection: keep-alive, X-Hop\r\n"
        b"X-Hop: 1\r\nKeep-Alive: timeout=9\r\nServer: m\r\nX-Load: 1,2,3\r\nContent-Length: 4\r\n\r\ngone"
        % id
    )


async def no_content(id, writer):
    writer.write(b"HTTP/1.1 204 No Content\r\nX-Try-Id: %s\r\nX-Seal: s\r\n\r\n" % id)


async def chunks(id, writer):
    head = b"HTTP/1.1 200 OK\r\nx-try-id: %s\r\nX-SEAL: s\r\nTransfer-Encoding: chunked\r\n\r\n" % id
    writer.write(head + b"2\r\nok\r\n1\r\n!\r\n0\r\n\r\n")


async def long_body(id, writer):
    writer.write(HEAD.replace(b"Length: 2", b"Length: 400000") % id + b"xy" * 200_000)


async def long_chunks(id, writer):
    head = b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" % id
    writer.write(head + b"61a80\r\n" + b"xy" * 200_000 + b"\r\n0\r\n\r\n")


async def head_only(id, writer):
    writer.write(HEAD % id)


async def no_response(id, writer):
    pass


async def stranger_then_ok(id, writer):
    await mismatched_id(id, writer)
    await ok(id, writer)


REQUEST_START = b"%s /p0/a%%2Fb/../c?d=%%20e HTTP/1.1\r\nHost: H.example:80\r\n"
PLAIN = REQUEST_START % b"GET" + b"X-Try-Id: id1\r\n"
POSTED = REQUEST_START % b"POST" + b"X-Try-Id: id1\r\nContent-Length: 4\r\n\r\nbody"
HOP_BY_HOP = (
    b"Connection: close, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nProxy-Connection: 1\r\nTE: trailers\r\n"
    b"Trailer: t\r\nProxy-Authenticate: a\r\nProxy-Authorization: b\r\n"
)
END_TO_END = (
    b"X-Deadline-Ms: 5000\r\nX-Want-Instance: i-7\r\nAccept-Encoding: gzip\r\nCookie: a=1\r\nCookie: b=2\r\n"
    b"X-Tenant: t\r\nX-Api-Key: k\r\nAuthorization: c\r\nUser-Agent: u\r\nX-Forwarded-For: 1.2.3.4\r\n"
)
KEY = "48wuakn2ftimaj3nr26t"
TENANT = {"type": "tenants", "hdr": {"name": "cuka620"}, "spec": {"apikeys": [KEY], "prio": 3}}
KNOWN_KEY = b"X-Api-Key: %s\r\nX-Tenant: other\r\n" % KEY.encode()
LIMITS = {"type": "limits", "hdr": {"name": ""}, "spec": {"body_bytes": 8, "hdr_s": 0.05, "hdr_bytes": 256}}
CHUNKED_POST = (
    REQUEST_START % b"POST" + b"X-Try-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)


@dataclass(frozen=True)
class Case:
    """One exchange: the bytes that a client sends, and the script of the proxy's only machine.

    If `script` is None, there is no machine. `extra` is added to the configuration, `changes` overrides
    fields of its route, and `bounds` overrides bounds of the settings. `prepare` is called with the proxy
    before the client connects. `port` is the name of the listener that the client connects to. `answers` is
    the number of responses that are read.
    """

    sent: bytes
    script: tuple[Callable, ...] | None = (ok,)
    kind: str = "safe"
    extra: tuple[dict, ...] = ()
    changes: tuple[tuple[str, object], ...] = ()
    bounds: tuple[tuple[str, float], ...] = ()
    prepare: Callable[[Proxy], None] = lambda proxy: None
    configured: bool = True
    port: str = "http"
    state: str = "ready"
    answers: int = 1


def call(path: bytes, body: bytes, method: bytes = b"POST") -> bytes:
    return b"%s %s HTTP/1.1\r\nHost: f\r\nX-Call-Id: c-1\r\nContent-Length: %d\r\n\r\n%s" % (
        method,
        path,
        len(body),
        body,
    )


POLL = {
    "who": {"node": "f2", "ip": "127.0.0.1", "zone": "z", "life": "1", "front": True, "epoch": 0},
    "rev": 0,
}
SMUGGLED = b"POST /p0/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
CASES = {
    "GET": Case(PLAIN + b"\r\n"),
    "GET without an id": Case(REQUEST_START % b"GET" + b"\r\n"),
    "GET with headers of its own": Case(PLAIN + END_TO_END + b"\r\n"),
    "GET with hop-by-hop headers": Case(PLAIN + HOP_BY_HOP + b"\r\n"),
    "GET with a deadline": Case(PLAIN + b"X-Deadline-Ms: 400\r\n\r\n"),
    "GET with a body": Case(PLAIN + b"Content-Length: 2\r\n\r\nab"),
    "HEAD": Case(REQUEST_START % b"HEAD" + b"X-Try-Id: id1\r\n\r\n", (head_only,)),
    "OPTIONS": Case(REQUEST_START % b"OPTIONS" + b"X-Try-Id: id1\r\n\r\n"),
    "DELETE without a body": Case(REQUEST_START % b"DELETE" + b"X-Try-Id: id1\r\n\r\n", kind="unsafe"),
    "POST": Case(POSTED, kind="unsafe"),
    "POST in chunks": Case(CHUNKED_POST, kind="unsafe"),
    "POST that expects 100": Case(POSTED.replace(b"X-Try", b"Expect: 100-continue\r\nX-Try"), kind="unsafe"),
    "an answer in chunks": Case(PLAIN + b"\r\n", (chunks,)),
    "an answer without content": Case(PLAIN + b"\r\n", (no_content,)),
    "a long answer": Case(PLAIN + b"\r\n", (long_body,)),
    "a long answer in chunks": Case(PLAIN + b"\r\n", (long_chunks,)),
    "a machine's 404": Case(PLAIN + b"\r\n", (not_found,), kind="unsafe"),
    "a machine's 500": Case(PLAIN + b"\r\n", (error_500,), kind="unsafe"),
    "a machine's 503 without promise": Case(PLAIN + b"\r\n", (unmarked_503,), kind="unsafe"),
    "an answer after a refusal": Case(PLAIN + b"\r\n", (not_run_503, ok)),
    "an answer after a 421": Case(PLAIN + b"\r\n", (misdirected_421, ok), kind="unsafe"),
    "an answer after another's": Case(PLAIN + b"\r\n", (mismatched_id, no_response)),
    "no answer": Case(POSTED, (close_connection,), kind="unsafe"),
    "half an answer": Case(POSTED, (truncated,), kind="unsafe"),
    "noise": Case(POSTED, (malformed,), kind="unsafe"),
    "silence": Case(POSTED, (no_response,), kind="unsafe", changes=(("timeout_s", 0.05),)),
    "always refused": Case(PLAIN + b"\r\n", (not_run_503,), bounds=(("retry_slack", 6400),)),
    "no budget": Case(
        PLAIN + b"\r\n",
        (not_run_503,),
        bounds=(("retry_slack", 0), ("retry_ratio", 0)),
    ),
    "one behind another": Case(GET % b"a" + GET % b"b", answers=2),
    "a machine that drains": Case(PLAIN + b"\r\n", state="draining"),
    "no machine": Case(PLAIN + b"\r\n", None),
    "a deadline that has passed": Case(PLAIN + b"X-Deadline-Ms: 1\r\n\r\n"),
    "a deadline that is no number": Case(PLAIN + b"X-Deadline-Ms: soon\r\n\r\n"),
    "no route": Case(b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n"),
    "no host of that name": Case(b"GET /p0/ HTTP/1.1\r\nHost: g.example\r\n\r\n"),
    "no configuration": Case(PLAIN + b"\r\n", configured=False),
    "a known key": Case(PLAIN + KNOWN_KEY + b"\r\n", extra=(TENANT,)),
    "no key": Case(PLAIN + b"\r\n", extra=(TENANT,)),
    "no key on a public route": Case(
        PLAIN + b"X-Tenant: other\r\n\r\n", extra=(TENANT,), changes=(("public", True),)
    ),
    "a body that is too long": Case(POSTED.replace(b": 4", b": 9") + b"12345", extra=(LIMITS,)),
    "a head that is too long": Case(PLAIN + b"X: %s\r\n\r\n" % (b"a" * 300), extra=(LIMITS,)),
    "a head that doesn't end": Case(PLAIN, extra=(LIMITS,)),
    "two framings": Case(SMUGGLED),
    "no Host": Case(b"GET /p0/ HTTP/1.1\r\n\r\n"),
    "two Hosts": Case(PLAIN + b"Host: g.example\r\n\r\n"),
    "an absolute target": Case(b"GET http://h.example/p0/ HTTP/1.1\r\nHost: h.example\r\n\r\n"),
    "a proxy that stops": Case(PLAIN + b"\r\n", prepare=stop),
    "a proxy that stops refuses": Case(b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", prepare=stop),
    "ready": Case(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n", prepare=confirm_quorum, port="ready"),
    "not ready": Case(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n", port="ready"),
    "not ready as it stops": Case(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", prepare=stop, port="ready"),
    "another proxy's call": Case(call(b"/news", json.dumps(POLL).encode()), port="proxies"),
    "a call without its fields": Case(call(b"/news", b"{}"), port="proxies"),
    "a call that is no JSON": Case(call(b"/news", b"{"), port="proxies"),
    "a call to another path": Case(call(b"/else", b"{}"), port="proxies"),
    "a call by another method": Case(call(b"/news", b"", b"GET"), port="proxies"),
    "metrics at another path": Case(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", port="metrics"),
}


async def begin(stack: AsyncExitStack, case: Case, frozen: bool = False, controller: int | None = None):
    """Starts a proxy with its configuration and its machine; returns the proxy, and the machine or None."""
    first = controller - 1 if controller else free_port()
    ports = free_port(), free_port(), free_port(), first, 65535
    seeds = (f"127.0.0.1:{ports[2]}",) if controller else ()
    text = settings_text("f", ip="127.0.0.1", tolerated_failures=0, seeds=seeds, ports=ports)
    for name, value in case.bounds:
        text = text.replace(f"{name} = {BOUNDS[name]}\n", f"{name} = {value}\n")
    proxy = make_proxy(text, frozen)
    await listen(proxy)
    stack.push_async_callback(proxy.server.close, 0.05)
    if case.configured:
        sent = config(5, kind=case.kind)
        sent["res"][0]["spec"] |= dict(case.changes)
        sent["res"] += case.extra
        deliver(proxy, "config", pack_for_proxies(json.dumps(sent)))
    if case.script is None:
        return proxy, None
    machine = await Machine(*case.script).open()
    stack.callback(machine.server.close)
    record = {"svc": "s", "ip": "127.0.0.1", "port": machine.port, "zone": "z", "ver": "v1", "slots": 4}
    if case.configured:
        deliver(proxy, "machine/i-0", {**record, "state": case.state, "cold": 0})
    case.prepare(proxy)
    return proxy, machine


async def read_answer(reader: asyncio.StreamReader, method: bytes) -> bytes:
    """Returns one response after any 1xx responses before it; of a chunked response only the head."""
    head = b""
    while not head or head.startswith(b"HTTP/1.1 1"):
        head += (response_head := await reader.readuntil(b"\r\n\r\n"))
        if not response_head.startswith(b"HTTP/1.1 1"):
            break
    length = re.search(rb"\r\ncontent-length: (\d+)", response_head)
    if length is None or method == b"HEAD":
        return head
    return head + await reader.readexactly(int(length[1]))


def compact(message: bytes) -> str:
    """Returns a message as it is recorded: masked, and a long body as its length and hash."""
    for mask, replacement in MASKS:
        message = mask.sub(replacement, message)
    head, separator, body = message.partition(b"\r\n\r\n")
    if len(body) > MAX_RECORDED_BYTES:
        body = b"<%d bytes, %s>" % (len(body), blake2b(body, digest_size=8).hexdigest().encode())
    return (head + separator + body).decode("latin-1")


async def exchange(port: int, sent: bytes, answers: int = 1) -> list[str]:
    """Returns the responses to the bytes that a client sends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(sent)
    async with asyncio.timeout(5.0):
        found = [compact(await read_answer(reader, sent.partition(b" ")[0])) for _ in range(answers)]
    writer.close()
    return found


def port_of(proxy: Proxy, name: str) -> int:
    settings = proxy.settings
    ports = {"proxies": settings.proxy_port, "metrics": proxy.metrics_endpoint.port}
    return ports.get(name) or settings.listen.addresses[name].port


async def play(case: Case) -> dict[str, list[str]]:
    """What a client and the machine get."""
    async with AsyncExitStack() as stack:
        proxy, machine = await begin(stack, case)
        found = await exchange(port_of(proxy, case.port), case.sent, case.answers)
        seen = machine.seen if machine else []
        return {"client": found, "machine": [compact(head + body) for head, _, body in seen]}


@test("bytes as recorded: {name}")
def _(name=each(*CASES)):
    assert asyncio.run(play(CASES[name])) == RECORDED["exchanges"][name]


@test("each case has a record and each record a case")
def _():
    assert list(CASES) == list(RECORDED["exchanges"])


async def metrics_page(proxy: Proxy) -> str:
    request = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
    (page,) = await exchange(port_of(proxy, "metrics"), request)
    return page


async def metrics_of_answers() -> str:
    """Returns the metrics page after requests with different results.

    Some requests are served at once, after a rejection, or after a surplus response. Others fail, find no
    machine, or are rejected because they have no known key or no route.
    """
    case = Case(b"", (ok, not_run_503, ok, stranger_then_ok, error_500, not_run_503), extra=(TENANT,))
    async with AsyncExitStack() as stack:
        proxy, _ = await begin(stack, case)
        with_key = PLAIN + KNOWN_KEY + b"\r\n"
        for sent in (*[with_key] * 5, PLAIN + b"\r\n", b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n"):
            await exchange(port_of(proxy, "http"), sent)
        return await metrics_page(proxy)


async def metrics_of_departure() -> str:
    """Returns the metrics page after a late response and a disconnect while a machine had the request."""
    async with AsyncExitStack() as stack:
        case = Case(b"", (ok, no_response), changes=(("target_s", 0), ("timeout_s", 5)))
        proxy, machine = await begin(stack, case)
        await exchange(port_of(proxy, "http"), PLAIN + b"\r\n")
        _, writer = await asyncio.open_connection("127.0.0.1", port_of(proxy, "http"))
        writer.write(PLAIN + b"\r\n")
        async with asyncio.timeout(5.0):
            while len(machine.seen) < 2:
                await asyncio.sleep(0.005)
            writer.close()
            while "honeywood_open_requests 0" not in (page := await metrics_page(proxy)):
                await asyncio.sleep(0.005)
        return page.partition("\r\n\r\n")[2]  # the length of the page depends on the masked value


@test("the metrics page is as recorded")
def _():
    assert asyncio.run(metrics_of_answers()) == RECORDED["metrics of answers"]


@test("the metrics page of a client's departure is as recorded")
def _():
    assert asyncio.run(metrics_of_departure()) == RECORDED["metrics of a departure"]


ROLLOUT = {
    "svc": "s",
    "to_ver": "v2",
    "over_s": 30.0,
    "state": "active",
    "stage": "trial",
    "lasted": 0.0,
    "n": 3,
    "order": 3,
    "past": [],
    "back": [],
}
POLL_RESPONSES = [
    {
        "life": "c",
        "rev": 4,
        "notes": [["rollout/s", [3], ROLLOUT]],
        "joined": True,
        "fleet": [2, []],
        "counted": 0,
    },
    {"life": "c", "rev": 4, "notes": [], "joined": True, "fleet": [2, []], "counted": 1},
    {"life": "c", "rev": 4, "notes": [], "joined": True, "fleet": [2, []], "counted": 2},
]


class Controller:
    """A scripted controller that answers calls with POLL_RESPONSES in order, each with its call's id."""

    def __init__(self):
        self.seen, self.responses = [], list(POLL_RESPONSES)

    async def open(self, stack: AsyncExitStack) -> "Controller":
        self.port = free_port() + 1
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        stack.callback(server.close)
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
                body = await reader.readexactly(int(fields[b"content-length"]))
                self.seen.append(compact(head + body))
                response = json.dumps(
                    self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
                ).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Call-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
                    % (fields[b"x-call-id"], len(response), response)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def calls_to_controllers() -> list[str]:
    """Returns a proxy's polls of a controller.

    The proxy polls before a rollout, during it with outcome counts, and after these were acknowledged. The
    last call is a long poll.
    """
    async with AsyncExitStack() as stack:
        controller = await Controller().open(stack)
        proxy, _ = await begin(stack, Case(b"", (ok, error_500)), frozen=True, controller=controller.port)
        await poll_once(proxy)
        for _ in range(3):
            await exchange(port_of(proxy, "http"), PLAIN + b"\r\n")
        for _ in range(3):
            await poll_once(proxy)
        await long_poll_once(proxy)
        return controller.seen


@test("calls to controllers, with outcome counts, are as recorded")
def _():
    assert asyncio.run(calls_to_controllers()) == RECORDED["calls to controllers"]


@test("the reasons in X-Gateway and the outcomes in counts keep their names")
def _():
    found = {"refusals": values_of(RejectionReason), "outcomes": values_of(AttemptOutcome)}
    assert found == RECORDED["names"]
