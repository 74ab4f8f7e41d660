"""References that remain after an RPC has ended."""

import types

from honeywood.balancer.actors import decision_host
from honeywood.balancer.actors.counters import Counters
from honeywood.balancer.model import Attempt, AttemptResult, Server
from honeywood.balancer.protocol import http
from honeywood.balancer.transport.buffer import Buffer
from honeywood.balancer.transport.timers import Timers


def test_an_ended_rpc_leaves_no_reference_cycle():
    """Otherwise memory grows in a long run until the garbage collector finds the cycles."""
    settings = types.SimpleNamespace(load_report_fields=(), connect_timeout=2500, warm_up_time=0)
    host = decision_host.DecisionHost.__new__(decision_host.DecisionHost)
    host._recorder, host._rpcs_taken = None, 0
    host._count = Counters().add
    host._open_identifiers, host._mailbox = set(), types.SimpleNamespace(timers=Timers())
    host._application, host._settings = types.SimpleNamespace(), settings
    peer = types.SimpleNamespace(name="a", send=None, mailbox=types.SimpleNamespace(post=lambda *_: None))
    server = Server(host=peer, started_at=0)

    def accept(now, rpc):
        rpc.attempts.append(Attempt(rpc=rpc, server=server, number=0, build=1, sent_at=now))
        host.send(rpc.attempts[0], now + 100)

    host._balancer = types.SimpleNamespace(
        on_request=accept,
        reject_connections_until=0,
        on_result=lambda now, attempt, result, *_: [
            setattr(attempt, "result", result),
            setattr(attempt.rpc, "done", True),
        ],
    )
    client = types.SimpleNamespace(answer=None, mailbox=types.SimpleNamespace(post=lambda *_: None))
    request = http.request_head(filled_buffer(b"GET /a HTTP/1.0\r\n\r\n"))
    request.body = b""
    call = types.SimpleNamespace(
        identifier="1",
        client=client,
        request=request,
        method=None,
        expected_work=0,
        is_retry=False,
        arrived_at=1,
        deadline=9,
        rpc=None,
    )
    host.on_request(call)
    attempt = call.rpc.attempts[0]
    host.on_result(
        attempt, AttemptResult.OK, (), types.SimpleNamespace(end_to_end_fields=lambda *_: [], body=b"")
    )
    assert attempt.result == AttemptResult.OK and attempt.host is None
    assert attempt.rpc.host is None and not attempt.rpc.attempts
    assert not host._open_identifiers


def filled_buffer(data):
    buffer = Buffer()
    buffer.add(data)
    return buffer
