"""Which parts of a client's request are forwarded to an endpoint."""

from ward import each, raises, test

from honeywood.gateway.proxy.client_request import ClientRequest
from honeywood.gateway.proxy.errors import InvalidDeadline
from honeywood.gateway.routing.endpoint import Endpoint


def request(method=b"GET", body=b"", *headers):
    """A request with Host and the given headers."""
    all_headers = [(b"host", b"h"), *headers]
    return ClientRequest(method, b"/p", all_headers, dict(all_headers), body)


@test("a client that sends the deadline {value} waits {timeout_s} s")
def _(value=each(None, b"1500", b"0"), timeout_s=each(86400.0, 1.5, 0.0)):
    headers = [] if value is None else [(b"x-deadline-ms", value)]
    assert request(b"GET", b"", *headers).client_timeout_s() == timeout_s


@test("a deadline that is not a number is an error")
def _():
    with raises(InvalidDeadline):
        request(b"GET", b"", (b"x-deadline-ms", b"soon")).client_timeout_s()


@test("{method} with the body {body} is forwarded with {header}")
def _(
    method=each(b"GET", b"HEAD", b"POST", b"GET"),
    body=each(b"", b"", b"", b"ab"),
    header=each(
        (b"accept-encoding", b"identity"),
        (b"accept-encoding", b"identity"),
        (b"content-length", b"0"),
        (b"content-length", b"2"),
    ),
):
    assert request(method, body).outgoing().headers == [(b"host", b"h"), header]


@test("each attempt has its endpoint's id and the remaining time, at least a millisecond, in its headers")
def _(remaining_s=each(0.25, 0.0001), remaining_ms=each(b"250", b"1")):
    outgoing = request(b"POST", b"").outgoing()
    added = outgoing.headers_for(Endpoint("m", "s", 0.0), remaining_s)[len(outgoing.headers) :]
    assert added == [(b"x-deadline-ms", remaining_ms), (b"x-want-instance", b"m")]
