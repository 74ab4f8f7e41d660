"""Responses to clients: an endpoint's response, or one that the proxy generates."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.routing.outcomes import FIRST_FAILURE, may_relay
from honeywood.gateway.rpc.headers import end_to_end
from honeywood.gateway.rpc.reply import BodyRemainder

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.rpc.reply import Reply

BAD_REQUEST, UNAUTHORIZED, NOT_FOUND, BODY_TOO_LARGE = 400, 401, 404, 413
BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
REASON_HEADER = b"x-gateway"
RETRY_AFTER_S = 0.1  # for a request that found no available endpoint
# For a request to a proxy without a configuration. The proxy receives one within seconds, and each rejection
# until then costs the client an attempt.
NO_CONFIGURATION_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class ClientResponse:
    """A response to a client.

    A long body is not complete in `body`: `remainder` is the rest, which is relayed while it arrives.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    remainder: BodyRemainder | None = None


def local_response(status: int, reason: str, retry_after_s: float | None = None) -> ClientResponse:
    """Returns a response that the proxy generates, with `reason` in X-Gateway."""
    headers = [(REASON_HEADER, reason.encode())]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return ClientResponse(status, headers)


def relayed_response(reply: Reply) -> ClientResponse:
    """Returns an endpoint's response to relay, or a 502 if its status must not be relayed."""
    if reply.status >= FIRST_FAILURE and not may_relay(reply.status):
        return local_response(BAD_GATEWAY, "the machine's answer makes no promise")
    headers = [one for one in end_to_end(reply.headers) if one[0] != b"content-length"]
    if reply.remainder is not None and b"content-length" in reply.fields:
        headers.append((b"content-length", reply.fields[b"content-length"]))
    return ClientResponse(reply.status, headers, reply.body, reply.remainder)
