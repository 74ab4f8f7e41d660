"""A client's complete request, and the form in which it is forwarded to endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywood.gateway.proxy.errors import InvalidDeadline
from honeywood.gateway.routing.admission import ADMITTED_WITHOUT_TENANTS, Admission
from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
from honeywood.gateway.rpc.headers import end_to_end

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.routing.endpoint import Endpoint

TRY_ID_HEADER = b"x-try-id"
DEADLINE_HEADER = b"x-deadline-ms"
INSTANCE_HEADER = b"x-want-instance"
NO_DEADLINE_MS = b"86400000"  # a day, far beyond any route's time-out
REWRITTEN_HEADERS = (DEADLINE_HEADER, INSTANCE_HEADER, b"content-length")  # an endpoint gets the proxy's own
ANSWERED_HEADERS = (b"expect",)  # the proxy has sent 100 Continue itself
BODILESS_METHODS = (b"GET", b"HEAD")
MS_PER_S = 1000


@dataclass(slots=True)
class OutgoingRequest:
    """A request as endpoints get it, without the headers that differ from attempt to attempt."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def headers_for(self, endpoint: Endpoint, remaining_s: float) -> list[tuple[bytes, bytes]]:
        """All headers of an attempt: with the time to the deadline and the instance that is meant."""
        remaining_ms = max(1, int(remaining_s * MS_PER_S))
        deadline = (DEADLINE_HEADER, str(remaining_ms).encode())
        return [*self.headers, deadline, (INSTANCE_HEADER, endpoint.id.encode())]


@dataclass(slots=True)
class ClientRequest:
    """A complete request of a client.

    `target` has its raw escapes, `headers` lower-case names, `fields` the last value of each. `received_at`
    is when it was complete, on the loop's clock; None: when it is forwarded.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    fields: Mapping[bytes, bytes]
    body: bytes
    disconnect: ClientDisconnect = field(default_factory=ClientDisconnect)
    received_at: float | None = None
    admission: Admission = ADMITTED_WITHOUT_TENANTS

    @property
    def try_id(self) -> bytes:
        """The id that the client gave the request, empty where it gave none."""
        return self.fields.get(TRY_ID_HEADER, b"")

    def client_timeout_s(self) -> float:
        """The seconds that the client waits for the answer; InvalidDeadline where it gave no number."""
        deadline_ms = self.fields.get(DEADLINE_HEADER, NO_DEADLINE_MS)
        try:
            return int(deadline_ms) / MS_PER_S
        except ValueError:
            raise InvalidDeadline(DEADLINE_HEADER.decode(), f"{deadline_ms!r} is no number") from None

    def outgoing(self) -> OutgoingRequest:
        """As endpoints get it: without hop-by-hop headers (RFC 9110, 7.6.1) and those that are rewritten."""
        dropped = REWRITTEN_HEADERS + ANSWERED_HEADERS
        headers = [one for one in end_to_end(self.headers) if one[0] not in dropped]
        headers = self.admission.forwarded_headers(headers)
        if self.body or self.method not in BODILESS_METHODS:
            headers.append((b"content-length", str(len(self.body)).encode()))
        else:
            headers.append((b"accept-encoding", b"identity"))
        return OutgoingRequest(self.method, self.target, headers, self.body)
