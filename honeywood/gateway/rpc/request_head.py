"""Checks of a request's head beyond those of the HTTP parser: its size and its unambiguity.

If another HTTP implementation may read a head differently, a request could be smuggled past it.
Source: RFC 9112, sections 3.2 (Host), 6.1 (Transfer-Encoding) and 11.2 (request smuggling); RFC 6585 (431).
"""

from __future__ import annotations

from honeywood.gateway.rpc.errors import RequestRejected

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.rpc.headers import HeaderFields

LINE_OVERHEAD_BYTES = 4  # of a header line in addition to its name and value: ": " and CRLF
ALLOWED_CODINGS: tuple[list[bytes], ...] = ([], [b"chunked"])


class HeadSize:
    """Counts the bytes of a request's head while it is received."""

    __slots__ = ("is_exceeded", "size_bytes")

    def __init__(self) -> None:
        """Start at 0 bytes."""
        self.size_bytes, self.is_exceeded = 0, False

    def add_target(self, target: bytes, max_bytes: int) -> None:
        """Count a part of the target; raises RequestRejected if the head exceeds `max_bytes`."""
        self._add(len(target) + 1, max_bytes)

    def add_header(self, name: bytes, value: bytes, max_bytes: int) -> None:
        """Count a header; raises RequestRejected if the head exceeds `max_bytes`."""
        self._add(len(name) + len(value) + LINE_OVERHEAD_BYTES, max_bytes)

    def _add(self, count: int, max_bytes: int) -> None:
        self.size_bytes += count
        if self.size_bytes > max_bytes:
            self.is_exceeded = True
            raise RequestRejected(f"the head exceeds {max_bytes} bytes")


def reject_ambiguous(target: bytes, headers: HeaderFields) -> None:
    """Raise RequestRejected for a head that another HTTP implementation may read differently."""
    hosts = [name for name, _ in headers if name == b"host"]
    codings = [value.strip().lower() for name, value in headers if name == b"transfer-encoding"]
    if len(hosts) != 1:
        raise RequestRejected(f"{len(hosts)} host headers instead of one")
    if codings not in ALLOWED_CODINGS:
        raise RequestRejected(f"unsupported transfer codings: {codings}")
    if not target.startswith(b"/") or b"#" in target:
        raise RequestRejected(f"the target is not a path: {target!r}")
