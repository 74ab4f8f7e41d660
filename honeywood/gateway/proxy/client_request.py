"""A client's complete request, and the request that is forwarded to endpoints."""

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
REWRITTEN_HEADERS = (DEADLINE_HEADER, INSTANCE_HEADER, b"content-length")  # replaced by the proxy's values
ANSWERED_HEADERS = (b"expect",)  # the proxy itself has answered 100 Continue
BODILESS_METHODS = (b"GET", b"HEAD")
MS_PER_S = 1000


@dataclass(slots=True)
class OutgoingRequest:
    """A request as it is sent to endpoints, without the headers that differ between attempts."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def headers_for(self, endpoint: Endpoint, remaining_s: float) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an attempt, with the remaining time and the endpoint's id added.

        `remaining_s` is the time to the request's deadline in seconds; at least 1 ms is sent.
        """
        remaining_ms = max(1, int(remaining_s * MS_PER_S))
        deadline = (DEADLINE_HEADER, str(remaining_ms).encode())
        return [*self.headers, deadline, (INSTANCE_HEADER, endpoint.id.encode())]


@dataclass(slots=True)
class ClientRequest:
    """A complete request of a client.

    Attributes:
        method: The HTTP method.
        target: The request target as received, with its percent-encoding.
        headers: All headers in order, with names in lower case.
        fields: The last value of each header.
        body: The complete body.
        disconnect: The disconnect of the client that sent the request.
        received_at: When the request was complete, in seconds on the loop's clock. None means the time at
            which it is forwarded.
        admission: The result of the check of the client's API key.
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
        """The client's id for the request (X-Try-Id), empty if it sent none."""
        return self.fields.get(TRY_ID_HEADER, b"")

    def client_timeout_s(self) -> float:
        """Returns the seconds for which the client waits for a response, a day if it sent no deadline.

        Raises:
            InvalidDeadline: X-Deadline-Ms is not a number.
        """
        deadline_ms = self.fields.get(DEADLINE_HEADER, NO_DEADLINE_MS)
        try:
            return int(deadline_ms) / MS_PER_S
        except ValueError:
            raise InvalidDeadline(DEADLINE_HEADER.decode(), f"{deadline_ms!r} is not a number") from None

    def outgoing(self) -> OutgoingRequest:
        """Returns the request for endpoints, without hop-by-hop (RFC 9110, 7.6.1) and rewritten headers."""
        dropped = REWRITTEN_HEADERS + ANSWERED_HEADERS
        headers = [one for one in end_to_end(self.headers) if one[0] not in dropped]
        headers = self.admission.forwarded_headers(headers)
        if self.body or self.method not in BODILESS_METHODS:
            headers.append((b"content-length", str(len(self.body)).encode()))
        else:
            headers.append((b"accept-encoding", b"identity"))
        return OutgoingRequest(self.method, self.target, headers, self.body)
