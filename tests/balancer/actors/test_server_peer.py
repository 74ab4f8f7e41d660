"""What waits for a connection to a server, and what comes back on it."""

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
