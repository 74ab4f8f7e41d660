"""The balancer's HTTP reader with messages that arrive in two parts, split at any byte."""

from ward import test

from honeywood.balancer.protocol import http
from honeywood.balancer.transport.buffer import Buffer


@test("the reader, given a message in two parts split at any byte, consumes it and nothing of the next one")
def _():
    heads_by_reader = {
        http.request_head: b"POST /p HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n%s",
        http.response_head: b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n%s",
    }
    bodies = b"Content-Length: 2\r\n\r\nok", b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    for read_head, head in heads_by_reader.items():
        for body in bodies:
            first, following = head % body, (head % body).replace(b"X-Id: 1", b"X-Id: 2")
            for split_at in range(len(first)):
                buffer = Buffer()
                buffer.add(first[:split_at])
                message = read_head(buffer)
                assert message is None or http.body(buffer, message) is None
                buffer.add(first[split_at:] + following)
                message = message or read_head(buffer)
                assert (message.get("x-id"), bytes(http.body(buffer, message))) == ("1", b"ok")
                assert bytes(buffer.view(0, len(buffer))) == following
