"""rpc/headers.py: hop-by-hop headers, self-delimited responses, keep-alive."""

from ward import each, test

from honeywood.gateway.rpc.headers import (
    closes_connection,
    end_to_end,
    is_self_delimited,
    keep_alive_timeout_s,
)


@test("hop-by-hop headers and those listed by a connection header, in any case, are removed")
def _():
    headers = [(b"connection", b"close, X-One"), (b"x-one", b"1"), (b"te", b"trailers"), (b"via", b"2")]
    assert end_to_end(headers) == [(b"via", b"2")]


@test("headers may be any iterable; their order and repetitions are kept")
def _():
    headers = [(b"a", b"1"), (b"b", b"2"), (b"a", b"3")]
    assert end_to_end(iter(headers)) == headers


@test("a response to {method!r} with status {status} and {fields} is self-delimited: {expected}")
def _(
    method=each(b"GET", b"GET", b"GET", b"HEAD", b"GET", b"GET", b"POST"),
    status=each(200, 200, 200, 200, 204, 304, 201),
    fields=each({}, {b"content-length": b"0"}, {b"transfer-encoding": b"chunked"}, {}, {}, {}, {}),
    expected=each(False, True, True, True, True, True, False),
):
    assert is_self_delimited(method, status, fields) == expected


@test("a response with connection {value!r} closes the connection: {expected}")
def _(
    value=each(b"close", b"Close, x", b"keep-alive", b""),
    expected=each(True, True, False, False),
):
    assert closes_connection({b"connection": value}) == expected


@test("keep-alive {value!r} states a time-out of {expected} s")
def _(
    value=each(
        b"timeout=5",
        b"max=9, Timeout=7",
        b"timeout = 7",
        b"timeout=soon",
        b"max=9",
        b"timeout=-1",
        b"",
    ),
    expected=each(5, 7, None, None, None, None, None),
):
    assert keep_alive_timeout_s({b"keep-alive": value}) == expected
