"""Parsers raise only their own exceptions, whatever the input."""

import random

import pytest

from honeywood.balancer.protocol import discovery, http, platform
from honeywood.balancer.transport.buffer import Buffer

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
    """Actors catch only this exception of a parser; any other one would end the program."""
    rng = random.Random(1)
    fragments = [b"\xb2", b"9" * 5000, b"\r\n", b" ", b"-1", b"1e999", b"\0", b"nan", b"["]
    for turn in range(3000):
        text = bytearray(rng.choice(samples))
        for _ in range(turn % 4):
            at = rng.randrange(len(text) + 1)
            text[at : at + rng.randrange(3)] = rng.choice([*fragments, bytes([rng.randrange(256)])])
        try:
            parse(filled_buffer(text))
        except error:
            pass


def filled_buffer(data):
    buffer = Buffer()
    buffer.add(data)
    return buffer
