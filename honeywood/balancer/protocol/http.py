"""HTTP/1.1 (RFC 9110, RFC 9112), both sides: messages out of a buffer, and into bytes."""

import re

from honeywood.balancer.transport.buffer import Buffer

MOST_HEAD, MOST_BODY, MOST_CHUNK_LINE = 16 * 1024, 64 * 1024, 256
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
TARGET = re.compile(rb"[!-~]+\Z")
STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: .*)?\Z")
DIGITS = re.compile(rb"[0-9]+\Z")
SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?\Z")
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
# What belongs to one connection and is not passed on.
HOP = {
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
UNREAD = (b"x-server-load",)  # what can't be read in it changes nothing else about its message


class Malformed(Exception):
    """What came can't be read. A request of this kind is answered with `status`."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Message:
    """A request or an answer. `fields` keeps names (in small letters) and values in order; the body comes
    with a `length` or is `chunked`."""

    __slots__ = ("method", "target", "status", "minor", "fields", "body", "length", "chunked")

    def get(self, name):
        for key, value in self.fields:
            if key == name:
                return value
        return None

    def once(self, name):
        """The value of a field that must be there once."""
        values = [value for key, value in self.fields if key == name]
        return values[0] if len(values) == 1 else None

    def tokens(self, name):
        joined = ",".join(value for key, value in self.fields if key == name)
        return [word.strip().lower() for word in joined.split(",") if word.strip()]

    @property
    def keep(self):
        """Whether the connection stays open after it."""
        tokens = self.tokens("connection")
        return "close" not in tokens and (self.minor == 1 or "keep-alive" in tokens)

    def passed_on(self, *without):
        """The fields that go on to the next party."""
        left = HOP.union(without, self.tokens("connection"))
        return [(name, value) for name, value in self.fields if name not in left]


def head(buffer):
    """The lines of a head, taken out of the buffer; None while it is not whole."""
    while buffer.view(0, 2) == b"\r\n":  # RFC 9112, 2.2: empty lines before a message are passed over
        passed(buffer, 2)
        buffer.take(2)
    end = buffer.until(b"\r\n\r\n")
    if end > MOST_HEAD or (end < 0 and len(buffer) > MOST_HEAD):
        raise Malformed(431, "head too large")
    if end < 0:
        return None
    first, *rest = buffer.take(end + 4)[:-4].split(b"\r\n")
    return first, [field(line) for line in rest]


def passed(buffer, size):
    """Bounds what is passed over before a message: empty lines, and answers of the kind 1xx."""
    buffer.passed += size
    if buffer.passed > MOST_HEAD:
        raise Malformed(431, "too much ahead")


def field(line):
    name, colon, value = line.partition(b":")
    value = value.strip(b" \t")
    if CONTROL.search(value) and name.lower() in UNREAD:
        value = b""
    if not colon or not TOKEN.match(name) or CONTROL.search(value):
        raise Malformed(400, "header line")
    return name.decode().lower(), value.decode("latin-1")


def framing(message, most=MOST_BODY):
    """Finds how the body is delimited; two ways at once are refused, since others might read it otherwise."""
    lengths = [value for name, value in message.fields if name == "content-length"]
    codings = message.tokens("transfer-encoding")
    message.chunked, message.length = Chunked(most) if codings else None, None
    if codings and (lengths or message.minor == 0):
        raise Malformed(400, "two lengths")
    if codings and codings != ["chunked"]:
        raise Malformed(501, "transfer coding")
    if lengths:
        if len(lengths) > 1 or not DIGITS.match(lengths[0].encode("latin-1")):
            raise Malformed(400, "content-length")
        if len(lengths[0]) > 9 or int(lengths[0]) > most:
            raise Malformed(413, "body too large")
        message.length = int(lengths[0])


def request_head(buffer):
    """A request without its body, or None while its head is not whole."""
    found = head(buffer)
    if found is None:
        return None
    buffer.passed = 0
    message, parts = Message(), found[0].split(b" ")
    message.fields = found[1]
    if len(parts) != 3 or not TOKEN.match(parts[0]) or not TARGET.match(parts[1]):
        raise Malformed(400, "request line")
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise Malformed(505 if parts[2].startswith(b"HTTP/") else 400, "version")
    if parts[0] == b"CONNECT":
        raise Malformed(501, "no tunnels")
    message.method, message.target, message.minor = parts[0].decode(), parts[1].decode(), parts[2][-1] - 48
    hosts = [value for name, value in message.fields if name == "host"]
    if len(hosts) != 1 and (message.minor == 1 or hosts):
        raise Malformed(400, "host")
    framing(message)
    if message.length is None and not message.chunked:
        message.length = 0
    return message


def response_head(buffer, to="GET", most=MOST_BODY):
    """An answer without its body, or None; answers of the kind 1xx are passed over."""
    while (found := head(buffer)) is not None:
        match = STATUS.match(found[0])
        if not match:
            raise Malformed(502, "status line")
        message = Message()
        message.minor, message.status, message.fields = int(match[1]), int(match[2]), found[1]
        if message.status < 200:
            passed(buffer, len(found[0]) + sum(len(name) + len(value) for name, value in found[1]))
            continue
        buffer.passed = 0
        framing(message, most)
        if to == "HEAD" or message.status in (204, 304):
            message.length, message.chunked = 0, None
        if message.length is None and not message.chunked:
            raise Malformed(502, "no length")  # where it ends with the connection, nothing tells a cut
        return message
    return None


def body(buffer, message):
    """The body of a message whose head was taken, or None while it is not whole."""
    chunked = message.chunked
    if chunked:
        return chunked.data.take(len(chunked.data)) if chunked.ends(buffer) else None
    return buffer.take(message.length) if len(buffer) >= message.length else None


def lines(buffer, message):
    """The lines of a chunked body that goes on and on, as they become whole."""
    message.chunked.ends(buffer)
    data = message.chunked.data
    while (end := data.find(b"\n")) >= 0:
        yield data.take(end + 1)


class Chunked:
    """A chunked body, taken out of a buffer chunk by chunk; `most` bounds what is not yet used of it."""

    def __init__(self, most):
        self.data, self.most, self.last, self.over = Buffer(), most, False, False

    def ends(self, buffer):
        """Takes what is whole by now; whether that was all."""
        while not self.last and (found := chunk(buffer)) is not None:
            size, start = found
            if size + len(self.data) > self.most:
                raise Malformed(413, "body too large")
            if size and len(buffer) < start + size + 2:
                break
            buffer.take(start)
            self.last = size == 0
            self.data.add(buffer.take(size))
            if size and buffer.take(2) != b"\r\n":
                raise Malformed(400, "chunk end")
        # Lines behind the last chunk are read and dropped.
        while self.last and not self.over and (end := buffer.find(b"\r\n")) >= 0:
            line = buffer.take(end + 2)[:-2]
            self.over = not (line and field(line))
        if self.last and not self.over and len(buffer) > MOST_HEAD:
            raise Malformed(431, "trailer too large")
        return self.over


def chunk(buffer):
    """(size, where its bytes start) of the next chunk, or None while its first line is not whole."""
    end = buffer.find(b"\r\n")
    if end < 0 and len(buffer) <= MOST_CHUNK_LINE:
        return None
    match = SIZE.match(bytes(buffer.view(0, end))) if 0 <= end <= MOST_CHUNK_LINE else None
    if not match:
        raise Malformed(400, "chunk size")
    return int(match[1], 16), end + 2


def written(first, fields, data):
    lines = [first, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + data


def request(method, target, fields, data=b""):
    sized = [("content-length", len(data))] if data or method not in ("GET", "HEAD") else []
    return written(f"{method} {target} HTTP/1.1", [*fields, *sized], data)


def response(status, fields=(), data=b"", keep=True, to=None):
    """An answer to the request `to`, whose kind and version word it."""
    ends = [("content-length", len(data))]
    if not keep or (to and to.minor == 0):
        ends.append(("connection", "keep-alive" if keep else "close"))
    first = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"
    return written(first, [*fields, *ends], b"" if to and to.method == "HEAD" else data)
