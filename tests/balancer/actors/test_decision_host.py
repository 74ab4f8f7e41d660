"""What is kept of an RPC that has ended."""

import types

from honeywood.balancer.actors import decision_host
from honeywood.balancer.actors.counters import Counters
from honeywood.balancer.model import Attempt, AttemptResult, Server
from honeywood.balancer.protocol import http
from honeywood.balancer.transport.buffer import Buffer
from honeywood.balancer.transport.timers import Timers


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
