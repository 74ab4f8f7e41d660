"""HTTP/1.1 (RFC 9110, RFC 9112), both sides: messages out of a buffer, and into bytes."""
import re

from honeywood.transport.buffer import Buffer

MOST_HEAD, MOST_BODY = 16 * 1024, 64 * 1024
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET = re.compile(rb"[!-~]+\Z")
STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: .*)?\Z")
DIGITS = re.compile(rb"[0-9]+\Z")
SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?\Z")
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 413: "Content Too Large",
           417: "Expectation Failed", 431: "Request Header Fields Too Large", 501: "Not Implemented",
           502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}
# What belongs to one connection and is not passed on.
HOP = {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
       "content-length", "expect"}


class Malformed(Exception):
    """What came can't be read. A request of this kind is answered with `status`."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Message:
    """A request or an answer. `fields` keeps names (in small letters) and values in order."""
    __slots__ = ("method", "target", "status", "minor", "fields", "body", "length", "chunked")

    def get(self, name):
        return next((value for key, value in self.fields if key == name), None)

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
        buffer.take(2)
    end = buffer.find(b"\r\n\r\n")
    if end > MOST_HEAD or (end < 0 and len(buffer) > MOST_HEAD):
        raise Malformed(431, "head too large")
    if end < 0:
        return None
    first, *rest = buffer.take(end + 4)[:-4].split(b"\r\n")
    return first, [field(line) for line in rest]


def field(line):
    name, colon, value = line.partition(b":")
    value = value.strip(b" \t")
    if not colon or not TOKEN.match(name) or any(c < 32 and c != 9 or c == 127 for c in value):
        raise Malformed(400, "header line")
    return name.decode().lower(), value.decode("latin-1")


def framing(message):
    """Finds how the body is delimited; two ways at once are refused, since others might read it otherwise."""
    lengths = [value for name, value in message.fields if name == "content-length"]
    codings = message.tokens("transfer-encoding")
    message.chunked, message.length = bool(codings), None
    if codings and (lengths or message.minor == 0):
        raise Malformed(400, "two lengths")
    if codings and codings != ["chunked"]:
        raise Malformed(501, "transfer coding")
    if lengths:
        if len(lengths) > 1 or not DIGITS.match(lengths[0].encode("latin-1")):
            raise Malformed(400, "content-length")
        if len(lengths[0]) > 9 or int(lengths[0]) > MOST_BODY:
            raise Malformed(413, "body too large")
        message.length = int(lengths[0])


def request_head(buffer):
    """A request without its body, or None while its head is not whole."""
    found = head(buffer)
    if found is None:
        return None
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


def response_head(buffer, to="GET"):
    """An answer without its body, or None; answers of the kind 1xx are passed over."""
    while (found := head(buffer)) is not None:
        match = STATUS.match(found[0])
        if not match:
            raise Malformed(502, "status line")
        message = Message()
        message.minor, message.status, message.fields = int(match[1]), int(match[2]), found[1]
        if message.status < 200:
            continue
        framing(message)
        if to == "HEAD" or message.status in (204, 304):
            message.length, message.chunked = 0, False
        if message.length is None and not message.chunked:
            raise Malformed(502, "no length")  # where it ends with the connection, nothing tells a cut
        return message
    return None


def body(buffer, message):
    """The body of a message whose head was taken, or None while it is not whole."""
    if not message.chunked:
        return buffer.take(message.length) if len(buffer) >= message.length else None
    parts, at, total = [], 0, 0
    while True:
        found = chunk(buffer, at)
        if found is None:
            return None
        size, start = found
        if size == 0:
            break
        total += size
        if total > MOST_BODY:
            raise Malformed(413, "body too large")
        if len(buffer) < start + size + 2:
            return None
        if buffer.view(start + size, start + size + 2) != b"\r\n":
            raise Malformed(400, "chunk end")
        parts.append(bytes(buffer.view(start, start + size)))
        at = start + size + 2
    # Lines behind the last chunk are read and dropped.
    while (end := buffer.find(b"\r\n", start)) >= 0:
        if end == start:
            buffer.take(end + 2)
            return b"".join(parts)
        field(bytes(buffer.view(start, end)))
        start = end + 2
    if len(buffer) - start > MOST_HEAD:
        raise Malformed(431, "trailer too large")
    return None


def chunk(buffer, at):
    """(size, where its bytes start) of the chunk at `at`, or None while its first line is not whole."""
    end = buffer.find(b"\r\n", at)
    if end < 0 and len(buffer) - at <= 256:
        return None
    match = SIZE.match(bytes(buffer.view(at, end))) if at <= end <= at + 256 else None
    if not match:
        raise Malformed(400, "chunk size")
    return int(match[1], 16), end + 2


class Lines:
    """Lines of text out of a chunked body that goes on and on, as they come."""

    def __init__(self, most):
        self.text, self.most, self.over = Buffer(), most, False

    def out_of(self, buffer):
        """The lines that are whole by now."""
        while not self.over and (found := chunk(buffer, 0)) is not None:
            size, start = found
            if size + len(self.text) > self.most:
                raise Malformed(413, "line too large")
            if len(buffer) < start + size + 2:
                break
            buffer.take(start)
            self.text.add(buffer.take(size))
            if buffer.take(2) != b"\r\n":
                raise Malformed(400, "chunk end")
            self.over = size == 0
        while (end := self.text.find(b"\n")) >= 0:
            yield self.text.take(end + 1)


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
