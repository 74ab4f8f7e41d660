"""rpc/request_head.py: the size of a head, and heads that other implementations may read differently."""

from ward import each, raises, test

from honeywood.gateway.rpc.errors import RequestRejected
from honeywood.gateway.rpc.request_head import HeadSize, reject_ambiguous

HOST = (b"host", b"h")


@test("a head of exactly the limit is accepted, a longer one is rejected")
def _():
    size = HeadSize()
    size.add_target(b"/p", 20)  # 3
    size.add_header(b"host", b"h", 20)  # 9
    size.add_header(b"x", b"123", 20)  # 8
    assert size.size_bytes == 20 and not size.is_exceeded
    with raises(RequestRejected):
        size.add_header(b"", b"", 20)
    assert size.is_exceeded


@test("{headers} with target {target!r} is rejected")
def _(
    headers=each(
        [],
        [HOST, HOST],
        [HOST, (b"transfer-encoding", b"gzip, chunked")],
        [HOST, (b"transfer-encoding", b"chunked"), (b"transfer-encoding", b"chunked")],
        [HOST, (b"transfer-encoding", b"identity")],
        [HOST],
        [HOST],
        [HOST],
        [HOST],
    ),
    target=each(b"/", b"/", b"/", b"/", b"/", b"http://h/", b"*", b"/p#f", b""),
):
    with raises(RequestRejected):
        reject_ambiguous(target, headers)


@test("a head with one host, a path and the headers {coding} is accepted")
def _(coding=each([], [(b"transfer-encoding", b" Chunked\t")])):
    assert reject_ambiguous(b"/p?q", [HOST, *coding]) is None
