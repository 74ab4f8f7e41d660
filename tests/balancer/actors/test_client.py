"""When the connection of a client is kept open and when it is closed."""

import socket
import types

import pytest

from honeywood.balancer.actors import client
from honeywood.balancer.protocol import http
from honeywood.balancer.transport.buffer import Buffer


@pytest.mark.parametrize("idle_time, closed", [(19_000, []), (20_500, ["idle"])])
def test_an_idle_client_is_closed_after_the_idle_timeout(idle_time, closed):
    """Otherwise clients that send one request and stay connected could use up all client connections."""
    actor = client.Client(
        types.SimpleNamespace(decisions=None, log=None, fail=None, descriptors=None, is_draining=False),
        "peer",
    )
    codes = []
    actor.connection.close, actor.was_answered, actor.active_at = (
        codes.append,
        True,
        client.clock.now() - idle_time,
    )
    actor.check_timeouts()
    assert codes == closed


@pytest.mark.parametrize("crowded, kept", [(False, True), (True, False)])
def test_no_client_is_kept_after_its_answer_while_there_are_many(crowded, kept):
    actor = client.Client(
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
    balancer_end, client_end = socket.socketpair()
    actor.connection.sock = balancer_end
    actor._write(http.request_head(filled_buffer(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")), 200, (), b"hi")
    assert (b"connection: close" in client_end.recv(999)) != kept and (actor.connection.code is None) == kept


def filled_buffer(data):
    buffer = Buffer()
    buffer.add(data)
    return buffer
