"""Requests that wait for a connection to a server, and their answers."""

import types

import pytest

from honeywood.balancer.actors import server_peer
from honeywood.balancer.actors.counters import Counters
from honeywood.balancer.actors.exchange import Exchange
from honeywood.balancer.model import AttemptResult, ServerStatus
from honeywood.balancer.protocol.discovery import Address
from honeywood.balancer.transport.buffer import Buffer
from honeywood.balancer.transport.descriptors import Descriptors


@pytest.mark.parametrize("change", ["late", "drains", "moved", None])
def test_a_request_that_waited_for_its_connection(change, monkeypatch):
    """It is not written if it waited too long, or if its server drains or has another address by then."""
    events, now = [], [1000]
    monkeypatch.setattr(
        server_peer,
        "ServerConnection",
        lambda peer: types.SimpleNamespace(
            process=peer.process,
            dial=lambda *_: None,
            close=lambda *_: None,
            code=None,
            write=lambda data: events.append(data) or True,
        ),
    )
    monkeypatch.setattr(server_peer, "SharedMailbox", lambda *_: None)
    monkeypatch.setattr(server_peer.clock, "now", lambda: now[0])
    decisions = types.SimpleNamespace(
        on_result="ended", post=lambda call, attempt, result, *_: events.append(result)
    )
    peer = server_peer.ServerPeer(
        "a",
        types.SimpleNamespace(
            decisions=decisions,
            log=None,
            fail=None,
            descriptors=Descriptors(20),
            max_answer=9,
            counters=Counters(),
            settings=types.SimpleNamespace(idle_timeout=1, connect_timeout=2500, load_report_fields=()),
        ),
    )
    peer.on_list_entry(ServerStatus.READY, server_peer.Process(Address(*("127.0.0.1", 1)), 1, 0))
    exchange = Exchange("attempt", None, "GET", b"data", now[0])
    peer.send(exchange)
    if change == "drains":
        peer.on_list_entry(ServerStatus.DRAINING, server_peer.Process(Address(*("127.0.0.1", 1)), 1, 0))
    if change == "moved":
        peer.on_list_entry(ServerStatus.READY, server_peer.Process(Address(*("127.0.0.1", 2)), 1, 0))
    now[0] += 2501 if change == "late" else 2500
    peer.on_open(exchange.connection)
    assert events == ([AttemptResult.CONNECT_FAILED] if change else [b"data"])
    peer.on_list_entry(ServerStatus.READY, server_peer.Process(Address(*("127.0.0.1", 3)), 1, 0))
    peer._keep(exchange.connection)  # a connection to a previous address is not kept
    assert not peer.idle


def test_the_begin_of_an_answer_is_reported_once(monkeypatch):
    """The decisions must distinguish a slowly sent answer from a server that is still working."""
    events = []
    monkeypatch.setattr(server_peer, "SharedMailbox", lambda *_: None)
    decisions = types.SimpleNamespace(
        on_response_started="begun", on_result="ended", post=lambda call, *_: events.append(call)
    )
    peer = server_peer.ServerPeer(
        "a",
        types.SimpleNamespace(
            decisions=decisions,
            log=None,
            fail=None,
            descriptors=None,
            max_answer=999,
            counters=Counters(),
            settings=types.SimpleNamespace(idle_timeout=1, connect_timeout=2500, load_report_fields=()),
        ),
    )
    exchange = Exchange("attempt", None, "GET", b"", 0)
    exchange.written, buffer = True, Buffer()
    connection = types.SimpleNamespace(
        exchange=exchange, buffer=buffer, code=None, process=None, close=lambda *_: None
    )
    for part in (b"HTTP/1.1 200 OK\r\n", b"Content-Length: 2\r\n\r\n", b"h", b"i"):
        buffer.add(part)
        peer.on_data(connection)
    assert events == ["begun", "ended"]
