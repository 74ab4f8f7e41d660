"""Which clients keep their connections."""

import socket
import types

import pytest

from honeywood.balancer.actors import client
from honeywood.balancer.protocol import http
from honeywood.balancer.transport.buffer import Buffer


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


def filled(data):
    buffer = Buffer()
    buffer.add(data)
    return buffer
