"""Every scenario file, the parsers, the wire's round trips and the actors."""

import io
import pathlib
import random
import socket
import struct
import threading
import time
import types

import pytest

from honeywood.balancer.model import AttemptResult, Attempt, Server, ServerStatus
from honeywood.balancer.benchlink import adapter, codec
from honeywood.balancer.decisions import admission
from honeywood.balancer.decisions.vote_levels import level_per_balancer
from honeywood.balancer.protocol import discovery, http, platform
from honeywood.balancer.protocol.discovery import Address
from honeywood.balancer.actors import application, client, decision_host, server_peer
from honeywood.balancer.actors.exchange import Exchange
from honeywood.balancer.actors.counters import Counters
from honeywood.balancer.transport import connection, poller
from honeywood.balancer.transport.buffer import Buffer
from honeywood.balancer.transport.descriptors import Descriptors
from honeywood.balancer.transport.mailbox import SharedMailbox
from honeywood.balancer.transport.timers import Timers
from play import play, play_sockets

HERE = pathlib.Path(__file__).parent
FILES, SOCKETS = (sorted((HERE / folder).glob("*.txt")) for folder in ("scenarios", "sockets"))


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_scenario(path):
    play(path)


@pytest.mark.parametrize("path", SOCKETS, ids=lambda p: p.stem)
def test_sockets(path, tmp_path):
    play_sockets(path, tmp_path)


@pytest.mark.parametrize("change", ["late", "drains", "moved", None])
def test_what_waited_for_its_connection(change, monkeypatch):
    """A pick decided before a drain, another address or too long ago is not written when it could be."""
    told, at = [], [1000]
    monkeypatch.setattr(
        server_peer,
        "ServerConnection",
        lambda peer: types.SimpleNamespace(
            process=peer.process,
            dial=lambda *_: None,
            close=lambda *_: None,
            code=None,
            write=lambda data: told.append(data) or True,
        ),
    )
    monkeypatch.setattr(server_peer, "SharedMailbox", lambda *_: None)
    monkeypatch.setattr(server_peer.clock, "now", lambda: at[0])
    module = types.SimpleNamespace(on_result="ended", post=lambda call, pick, result, *_: told.append(result))
    peer = server_peer.ServerPeer(
        "a",
        types.SimpleNamespace(
            decisions=module,
            log=None,
            fail=None,
            descriptors=Descriptors(20),
            max_answer=9,
            counters=Counters(),
            settings=types.SimpleNamespace(idle_timeout=1, connect_timeout=2500, load_report_fields=()),
        ),
    )
    peer.on_list_entry(ServerStatus.READY, server_peer.Process(Address(*("127.0.0.1", 1)), 1, 0))
    exchange = Exchange("pick", None, "GET", b"data", at[0])
    peer.send(exchange)
    if change == "drains":
        peer.on_list_entry(ServerStatus.DRAINING, server_peer.Process(Address(*("127.0.0.1", 1)), 1, 0))
    if change == "moved":
        peer.on_list_entry(ServerStatus.READY, server_peer.Process(Address(*("127.0.0.1", 2)), 1, 0))
    at[0] += 2501 if change == "late" else 2500
    peer.on_open(exchange.connection)
    assert told == ([AttemptResult.CONNECT_FAILED] if change else [b"data"])
    peer.on_list_entry(ServerStatus.READY, server_peer.Process(Address(*("127.0.0.1", 3)), 1, 0))
    peer._keep(exchange.connection)  # what led to another address is not kept for this one
    assert not peer.idle


def test_an_answer_that_has_begun_is_told_once(monkeypatch):
    """The decisions must know a trickling answer from a server that is at work."""
    told = []
    monkeypatch.setattr(server_peer, "SharedMailbox", lambda *_: None)
    module = types.SimpleNamespace(
        on_response_started="begun", on_result="ended", post=lambda call, *_: told.append(call)
    )
    peer = server_peer.ServerPeer(
        "a",
        types.SimpleNamespace(
            decisions=module,
            log=None,
            fail=None,
            descriptors=None,
            max_answer=999,
            counters=Counters(),
            settings=types.SimpleNamespace(idle_timeout=1, connect_timeout=2500, load_report_fields=()),
        ),
    )
    exchange = Exchange("pick", None, "GET", b"", 0)
    exchange.written, buffer = True, Buffer()
    one = types.SimpleNamespace(
        exchange=exchange, buffer=buffer, code=None, process=None, close=lambda *_: None
    )
    for part in (b"HTTP/1.1 200 OK\r\n", b"Content-Length: 2\r\n\r\n", b"h", b"i"):
        buffer.add(part)
        peer.on_data(one)
    assert told == ["begun", "ended"]


SAMPLES = [
    (
        http.InvalidMessage,
        lambda b: (m := http.request_head(b)) and http.body(b, m),
        [
            b"GET /a HTTP/1.1\r\nHost: x\r\nX-Timeout: 0.4\r\n\r\n",
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
            b"POST /a HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc",
        ],
    ),
    (
        http.InvalidMessage,
        lambda b: (m := http.response_head(b)) and http.body(b, m),
        [b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"],
    ),
    (
        platform.InvalidLine,
        lambda b: platform.parse_reply(platform.read_line(b) or [""], 4),
        [b"OK 42 1 canary 0.28 310\r\n", b"ERR BUSY\r\n"],
    ),
    (
        platform.InvalidLine,
        lambda b: platform.parse_counts(platform.read_line(b) or []),
        [b"42 lookup 57 2 18.5 900\r\n"],
    ),
    (
        discovery.InvalidList,
        lambda b: discovery.parse_line(b.take(len(b))),
        [
            b'{"revision":4,"complete":true,"members":[{"id":"s","host_port":"a:1","phase":"up","size":1.0,'
            b'"up_since_ms":0,"release":41}]}',
            b"[" * 5000,
            b'{"revision":1e999,"complete":1,"members":[]}',
        ],
    ),
]


@pytest.mark.parametrize("error, parse, samples", SAMPLES)
def test_parsers_raise_only_their_own(error, parse, samples):
    """Whatever comes, an actor is told by the one exception it expects: any other would end the program."""
    chance = random.Random(1)
    bits = [b"\xb2", b"9" * 5000, b"\r\n", b" ", b"-1", b"1e999", b"\0", b"nan", b"["]
    for turn in range(3000):
        text = bytearray(chance.choice(samples))
        for _ in range(turn % 4):
            at = chance.randrange(len(text) + 1)
            text[at : at + chance.randrange(3)] = chance.choice([*bits, bytes([chance.randrange(256)])])
        try:
            parse(filled(text))
        except error:
            pass


def test_level_of_many_fronts():
    levels = level_per_balancer(1, 1), level_per_balancer(130, 1), level_per_balancer(470, 24)
    assert levels[0] == 0.05 and abs(levels[1] - 0.00038) < 5e-6 and abs(levels[2] - 0.035) < 5e-4


def frame(*records, tail=b"", clock=1000):
    body = b"".join(r.ljust(40, b"\0") for r in records) + tail
    return struct.pack(">IIQ", len(records), len(body) + 8, clock) + body


def pack(code, *values):
    return struct.pack(">H", code) + codec.EVENTS[code].pack(*values)[2:]


SETTINGS = (
    b'{"new_key": 1, "limits": {"max_attempts": 2},'
    b'"profiles": [{"idempotency": "unsafe", "aim_us": 1000000, "give_up_us": 4000000}]}'
)
ENTRY = codec.LIST_ENTRY.pack(0, 0, 3.0, 77, 1, 0, 2, 1.0)
HELLO = (
    pack(codec.CONTEXT, 5),
    pack(codec.HELLO, 9, 0, len(SETTINGS)),
    pack(codec.ROSTER, 2, len(SETTINGS), 1),
    pack(codec.VIEW, 2, 1, 2),
)


def test_wire_round_trip():
    knock = pack(codec.KNOCK, 1 << 50, 0, 0, 0, 5_000_000, 0, 0xF0)
    unknown = struct.pack(">H", 500)
    read = codec.read_frame(io.BytesIO(frame(*HELLO, unknown, knock, tail=SETTINGS + ENTRY)))
    process = adapter.Process()
    reply = process.answer(*read).frame()
    count, size = struct.unpack_from(">II", reply)
    records = [reply[8 + 24 * i : 32 + 24 * i] for i in range(count)]
    assert size == len(reply) - 8
    assert records[0] == struct.pack(">HI", 68, 5).ljust(24, b"\0")
    assert struct.pack(">HQIQ", 76, 1 << 50, 77, 5_000_000).ljust(24, b"\0") in records
    late = pack(codec.OUTCOME, 1 << 50, 1, 1, 77, 900, 0, 0, 0, 0, 0, 0)
    assert process.answer(2000, [pack(codec.CONTEXT, 5).ljust(40, b"\0"), late, late], b"").count == 0
    assert not process.instances[5].rpcs
    assert codec.read_frame(io.BytesIO(b"")) is None


@pytest.mark.parametrize("data", [b"\0" * 7, frame(*HELLO)[:-3], struct.pack(">IIQ", 9, 20, 0) + b"\0" * 12])
def test_bad_frames_end_with_one_line(data, monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", type("In", (), {"buffer": io.BytesIO(data)}))
    assert adapter.main() == 1
    assert capsys.readouterr().err.count("\n") == 1


def test_fault_is_reported(monkeypatch):
    monkeypatch.setattr(admission.Admission, "on_request", lambda *_: 1 / 0)
    knock = pack(codec.KNOCK, 8, 0, 0, 0, 5_000_000, 0, 0)
    read = codec.read_frame(io.BytesIO(frame(*HELLO, knock, tail=SETTINGS + ENTRY)))
    assert b"ZeroDivisionError" in adapter.Process().answer(*read).frame()


def test_an_overloaded_front_refuses_new_clients_unread():
    """It costs no thread, and tells when to come back; one that has come before is not concerned."""
    front, told = application.Application.__new__(application.Application), []
    front.reject_connections_until, front.log = (
        application.clock.now() + 1000,
        types.SimpleNamespace(warning=lambda event, **said: told.append(said["code"])),
    )
    theirs, ours = socket.socketpair()
    front.accept(ours, "peer")
    assert told == ["overloaded"] and ours.fileno() < 0
    assert theirs.recv(999).startswith(b"HTTP/1.1 503 ") and theirs.recv(9) == b""


def test_what_is_not_read_is_written_apart_and_bounded():
    """A write never waits: the rest goes out as the peer reads, in order; who reads nothing is closed."""
    told, (ours, theirs) = [], socket.socketpair()
    owner = types.SimpleNamespace(on_closed=lambda one: told.append(one.code), on_data=None)
    made = connection.Connection(owner, SharedMailbox("x", 9, None), Descriptors(1), "peer")
    made.sock = ours
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    pieces = [bytes([n]) * 300_000 for n in range(3)]
    assert all(made.write(piece) for piece in pieces) and made.is_flushing
    made.finish("done")
    got = b""
    while some := theirs.recv(1 << 20):
        got += some
    assert got == b"".join(pieces)
    until = time.monotonic() + 15
    while made.is_flushing and time.monotonic() < until:
        time.sleep(0.01)
    made.is_finishing = False
    made.code, (made.sock, theirs) = None, socket.socketpair()
    while made.write(pieces[0]):
        pass
    theirs.close()
    while made.descriptors.free < 2 and time.monotonic() < until:
        time.sleep(0.01)
    assert told == ["reads_nothing"] and made.descriptors.free == 2 and made.sock.fileno() < 0
    assert not made.unsent and not made.buffer.data


def test_a_connection_without_a_thread_ends_and_not_the_program(monkeypatch):
    """A system has so many threads: hundreds of fronts on it must not end when there is none left."""

    def none_left(*_):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(connection, "run_on_thread", none_left)
    told = []
    owner = types.SimpleNamespace(on_closed=lambda one: told.append(one.code), on_open=None)
    held = Descriptors(3)
    held.take()
    one = connection.Connection(owner, SharedMailbox("x", 9, None), held, "x")
    one.dial(("127.0.0.1", 1), 1)
    assert told == ["no_thread"] and held.free == 3


def test_an_event_of_a_numbers_last_owner_finds_nothing_half_registered(monkeypatch):
    """The poller takes many events at once; a connection that ends while the first are told gives its number
    to the next one accepted. Its event, told while that one is being registered, ended the program."""
    made, told = poller.Poller(), []
    made._started = True
    monkeypatch.setattr(connection, "poller", made)
    real, events = made._epoll, threading.Event()

    class Slow:
        def poll(self, maxevents):
            if events.is_set():
                time.sleep(0.01)
                return []
            events.set()
            return [(ours.fileno(), 1)]

        def register(self, fd, what):
            thread = threading.Thread(target=looped, daemon=True)
            thread.start()  # it has the stale event, and looks whose it is
            events.wait(5)
            thread.join(0.1)
            real.register(fd, what)

        def modify(self, fd, what):
            real.modify(fd, what)

    def looped():
        try:
            made._loop()
        except OSError as wrong:
            told.append(wrong)

    made._epoll = Slow()
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()):
        ours, _ = server.accept()
        box = SharedMailbox("x", 9, None)
        one = connection.Connection(None, box, Descriptors(3), "x")
        one.accept(ours)
        until = time.monotonic() + 1
        while not told and time.monotonic() < until:
            time.sleep(0.01)
    assert not told and one.is_open_and_silent() is False


def test_nothing_of_an_rpc_is_left_to_the_collector():
    """Long days: what has ended goes at once, or memory grows until the collector finds it."""
    settings = types.SimpleNamespace(load_report_fields=(), connect_timeout=2500, warm_up_time=0)
    made = decision_host.DecisionHost.__new__(decision_host.DecisionHost)
    made._recorder, made._rpcs_taken = None, 0
    made._count = Counters().add
    made._open_identifiers, made._mailbox = set(), types.SimpleNamespace(timers=Timers())
    made._application, made._settings = types.SimpleNamespace(), settings
    peer = types.SimpleNamespace(name="a", send=None, mailbox=types.SimpleNamespace(post=lambda *_: None))
    sent = Server(host=peer, started_at=0)

    def take(now, rpc):
        rpc.attempts.append(Attempt(rpc=rpc, server=sent, number=0, build=1, sent_at=now))
        made.send(rpc.attempts[0], now + 100)

    made._balancer = types.SimpleNamespace(
        on_request=take,
        reject_connections_until=0,
        on_result=lambda now, attempt, result, *_: [
            setattr(attempt, "result", result),
            setattr(attempt.rpc, "done", True),
        ],
    )
    asker = types.SimpleNamespace(answer=None, mailbox=types.SimpleNamespace(post=lambda *_: None))
    request = http.request_head(filled(b"GET /a HTTP/1.0\r\n\r\n"))
    request.body = b""
    call = types.SimpleNamespace(
        identifier="1",
        client=asker,
        request=request,
        method=None,
        expected_work=0,
        is_retry=False,
        arrived_at=1,
        deadline=9,
        rpc=None,
    )
    made.on_request(call)
    attempt = call.rpc.attempts[0]
    made.on_result(
        attempt, AttemptResult.OK, (), types.SimpleNamespace(end_to_end_fields=lambda *_: [], body=b"")
    )
    assert attempt.result == AttemptResult.OK and attempt.host is None
    assert attempt.rpc.host is None and not attempt.rpc.attempts
    assert not made._open_identifiers


def filled(data):
    buffer = Buffer()
    buffer.add(data)
    return buffer


@pytest.mark.parametrize("quiet, closed", [(19_000, []), (20_500, ["idle"])])
def test_a_client_that_asked_once_leaves_its_place(quiet, closed):
    """Clients that ask once and stay would hold all the connections there may be."""
    one = client.Client(
        types.SimpleNamespace(decisions=None, log=None, fail=None, descriptors=None, is_draining=False),
        "peer",
    )
    told = []
    one.connection.close, one.was_answered, one.active_at = told.append, True, client.clock.now() - quiet
    one.check_timeouts()
    assert told == closed


@pytest.mark.parametrize("crowded, kept", [(False, True), (True, False)])
def test_no_client_is_kept_after_its_answer_while_there_are_many(crowded, kept):
    one = client.Client(
        types.SimpleNamespace(
            decisions=None,
            log=None,
            fail=None,
            descriptors=None,
            is_draining=False,
            is_crowded=lambda: crowded,
            idle={},
            ending={},
        ),
        "peer",
    )
    ours, theirs = socket.socketpair()
    one.connection.sock = ours
    one._write(http.request_head(filled(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")), 200, (), b"hi")
    assert (b"connection: close" in theirs.recv(999)) != kept and (one.connection.code is None) == kept
