"""HTTP/1.1 (RFC 9110, RFC 9112): parses requests and responses from a buffer and serializes them."""

from __future__ import annotations

import re
from dataclasses import dataclass

from honeywood.balancer.transport.buffer import Buffer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    Fields = Sequence[tuple[str, str | int]]

MAX_HEAD, MAX_BODY, MAX_CHUNK_LINE = 16 * 1024, 64 * 1024, 256  # bytes
MAX_LENGTH_DIGITS = 9
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
TARGET = re.compile(rb"[!-~]+\Z")
STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: .*)?\Z")
DIGITS = re.compile(rb"[0-9]+\Z")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?\Z")
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
# Fields that belong to one connection and are not forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
}
# An invalid value of these fields is replaced by an empty one, and the message stays valid.
LENIENT_FIELDS = (b"x-server-load",)


class InvalidMessage(Exception):  # noqa: N818 - named for what went wrong
    """A message is malformed or not supported; a request is then answered with `status`."""

    def __init__(self, status: int, reason: str) -> None:
        """Create the error; `reason` appears in the answer and in logs."""
        super().__init__(reason)
        self.status = status


class Chunked:
    """Decoder of a chunked body; `limit` bounds the decoded bytes that are not consumed yet."""

    def __init__(self, limit: int) -> None:
        """Create a decoder that has read no chunk yet."""
        self.data, self.is_complete = Buffer(), False
        self._limit, self._last_seen = limit, False

    def read(self, buffer: Buffer) -> bool:
        """Decode the complete chunks in the buffer; whether the body is complete. Raises InvalidMessage."""
        while not self._last_seen and (chunk := _chunk(buffer)) is not None:
            size, start = chunk
            if size + len(self.data) > self._limit:
                raise InvalidMessage(413, "body too large")
            if size and len(buffer) < start + size + 2:
                break
            buffer.take(start)
            self._last_seen = size == 0
            self.data.add(buffer.take(size))
            if size and buffer.take(2) != b"\r\n":
                raise InvalidMessage(400, "chunk end")
        self._skip_trailers(buffer)
        return self.is_complete

    def _skip_trailers(self, buffer: Buffer) -> None:
        """Read and discard the trailer fields after the last chunk."""
        while self._last_seen and not self.is_complete and (end := buffer.find(b"\r\n")) >= 0:
            line = buffer.take(end + 2)[:-2]
            self.is_complete = not (line and _field(line))
        if self._last_seen and not self.is_complete and len(buffer) > MAX_HEAD:
            raise InvalidMessage(431, "trailer too large")


@dataclass(slots=True)
class Message:
    """The common part of requests and responses.

    `fields` holds the names (in lower case) and values of the header fields in order. Subclasses have either
    the `length` of the body or, for a `chunked` body, its decoder.
    """

    minor: int  # minor version of HTTP/1
    fields: list[tuple[str, str]]

    def get(self, name: str) -> str | None:
        """The first value of a field, None if it is missing."""
        for key, value in self.fields:
            if key == name:
                return value
        return None

    def get_single(self, name: str) -> str | None:
        """The value of a field that occurs exactly once, otherwise None."""
        values = [value for key, value in self.fields if key == name]
        return values[0] if len(values) == 1 else None

    def tokens(self, name: str) -> list[str]:
        """The elements of a comma-separated list field, in lower case."""
        joined = ",".join(value for key, value in self.fields if key == name)
        return [word.strip().lower() for word in joined.split(",") if word.strip()]

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        tokens = self.tokens("connection")
        return "close" not in tokens and (self.minor == 1 or "keep-alive" in tokens)

    def end_to_end_fields(self, *without: str) -> list[tuple[str, str]]:
        """The fields to forward: neither hop-by-hop nor named in `without`."""
        excluded = HOP_BY_HOP.union(without, self.tokens("connection"))
        return [(name, value) for name, value in self.fields if name not in excluded]


@dataclass(slots=True)
class Request(Message):
    """A request; its body is read after its head."""

    method: str
    target: str
    length: int | None = None
    chunked: Chunked | None = None
    body: bytes | bytearray = b""


@dataclass(slots=True)
class Response(Message):
    """A response; its body is read after its head."""

    status: int
    length: int | None = None
    chunked: Chunked | None = None
    body: bytes | bytearray = b""


def request_head(buffer: Buffer) -> Request | None:
    """Parse the head of a request; None while it is incomplete. Raises InvalidMessage."""
    head = _head(buffer)
    if head is None:
        return None
    buffer.skipped = 0
    start_line, fields = head
    parts = start_line.split(b" ")
    if len(parts) != 3 or not TOKEN.match(parts[0]) or not TARGET.match(parts[1]):
        raise InvalidMessage(400, "request line")
    method, target, version = parts
    if version not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise InvalidMessage(505 if version.startswith(b"HTTP/") else 400, "version")
    if method == b"CONNECT":
        raise InvalidMessage(501, "no tunnels")
    request = Request(int(version[-1:]), fields, method.decode(), target.decode())
    hosts = [value for name, value in fields if name == "host"]
    if len(hosts) != 1 and (request.minor == 1 or hosts):
        raise InvalidMessage(400, "host")
    request.length, request.chunked = _framing(request, MAX_BODY)
    if request.length is None and not request.chunked:
        request.length = 0
    return request


def response_head(buffer: Buffer, method: str = "GET", max_body: int = MAX_BODY) -> Response | None:
    """Parse the head of the response to a request of this method; None while it is incomplete.

    Interim responses (1xx) are skipped. Raises InvalidMessage.
    """
    while (head := _head(buffer)) is not None:
        start_line, fields = head
        match = STATUS.match(start_line)
        if not match:
            raise InvalidMessage(502, "status line")
        response = Response(int(match[1]), fields, int(match[2]))
        if response.status < 200:
            _skip(buffer, len(start_line) + sum(len(name) + len(value) for name, value in fields))
            continue
        buffer.skipped = 0
        response.length, response.chunked = _framing(response, max_body)
        if method == "HEAD" or response.status in (204, 304):
            response.length, response.chunked = 0, None
        if response.length is None and not response.chunked:
            # The body would end with the connection, and a truncated one could not be detected.
            raise InvalidMessage(502, "no length")
        return response
    return None


def body(buffer: Buffer, message: Request | Response) -> bytes | bytearray | None:
    """Take the body of a message whose head was parsed; None while incomplete. Raises InvalidMessage."""
    chunked = message.chunked
    if chunked:
        return chunked.data.take(len(chunked.data)) if chunked.read(buffer) else None
    length = message.length or 0
    return buffer.take(length) if len(buffer) >= length else None


def lines(buffer: Buffer, chunked: Chunked) -> Iterator[bytes | bytearray]:
    """Take the complete lines of a chunked body of unbounded length. Raises InvalidMessage."""
    chunked.read(buffer)
    while (end := chunked.data.find(b"\n")) >= 0:
        yield chunked.data.take(end + 1)


def request(method: str, target: str, fields: Fields, data: bytes | bytearray = b"") -> bytes:
    """Serialize a request."""
    framing_fields = [("content-length", len(data))] if data or method not in ("GET", "HEAD") else []
    return _message(f"{method} {target} HTTP/1.1", [*fields, *framing_fields], data)


def response(
    status: int,
    fields: Fields = (),
    data: bytes | bytearray = b"",
    keep_alive: bool = True,
    in_reply_to: Request | None = None,
) -> bytes:
    """Serialize a response that suits the method and version of the request `in_reply_to`."""
    framing_fields: list[tuple[str, str | int]] = [("content-length", len(data))]
    if not keep_alive or (in_reply_to and in_reply_to.minor == 0):
        framing_fields.append(("connection", "keep-alive" if keep_alive else "close"))
    start_line = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"
    return _message(
        start_line, [*fields, *framing_fields], b"" if in_reply_to and in_reply_to.method == "HEAD" else data
    )


def _message(start_line: str, fields: Fields, data: bytes | bytearray) -> bytes:
    head = [start_line, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join([*head, "", ""]).encode("latin-1") + data


def _head(buffer: Buffer) -> tuple[bytes | bytearray, list[tuple[str, str]]] | None:
    """Take a head from the buffer: its start line and its fields; None while it is incomplete."""
    while buffer.view(0, 2) == b"\r\n":  # RFC 9112, 2.2: empty lines before a message are skipped
        _skip(buffer, 2)
        buffer.take(2)
    end = buffer.find_incremental(b"\r\n\r\n")
    if end > MAX_HEAD or (end < 0 and len(buffer) > MAX_HEAD):
        raise InvalidMessage(431, "head too large")
    if end < 0:
        return None
    start_line, *rest = buffer.take(end + 4)[:-4].split(b"\r\n")
    return start_line, [_field(line) for line in rest]


def _skip(buffer: Buffer, size: int) -> None:
    """Limit the bytes skipped before a message: empty lines and interim responses (1xx)."""
    buffer.skipped += size
    if buffer.skipped > MAX_HEAD:
        raise InvalidMessage(431, "too much ahead")


def _field(line: bytes | bytearray) -> tuple[str, str]:
    name, colon, value = line.partition(b":")
    value = value.strip(b" \t")
    if CONTROL.search(value) and name.lower() in LENIENT_FIELDS:
        value = b""
    if not colon or not TOKEN.match(name) or CONTROL.search(value):
        raise InvalidMessage(400, "header line")
    return name.decode().lower(), value.decode("latin-1")


def _framing(message: Message, max_body: int) -> tuple[int | None, Chunked | None]:
    """How the body is delimited: its length or the decoder of a chunked body (RFC 9112, 6.3).

    A message with both is refused, since other parties may interpret it differently (request smuggling).
    """
    lengths = [value for name, value in message.fields if name == "content-length"]
    codings = message.tokens("transfer-encoding")
    if codings and (lengths or message.minor == 0):
        raise InvalidMessage(400, "two lengths")
    if codings:
        if codings != ["chunked"]:
            raise InvalidMessage(501, "transfer coding")
        return None, Chunked(max_body)
    if not lengths:
        return None, None
    if len(lengths) > 1 or not DIGITS.match(lengths[0].encode("latin-1")):
        raise InvalidMessage(400, "content-length")
    if len(lengths[0]) > MAX_LENGTH_DIGITS or int(lengths[0]) > max_body:
        raise InvalidMessage(413, "body too large")
    return int(lengths[0]), None


def _chunk(buffer: Buffer) -> tuple[int, int] | None:
    """(size, offset of the data) of the next chunk; None while its size line is incomplete."""
    end = buffer.find(b"\r\n")
    if end < 0 and len(buffer) <= MAX_CHUNK_LINE:
        return None
    match = CHUNK_SIZE.match(bytes(buffer.view(0, end))) if 0 <= end <= MAX_CHUNK_LINE else None
    if not match:
        raise InvalidMessage(400, "chunk size")
    return int(match[1], 16), end + 2
