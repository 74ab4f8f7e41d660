"""What a client gets: an endpoint's answer, or one of the gateway's own."""

from dataclasses import dataclass

from honeywood.gateway.routing.outcomes import FIRST_FAILURE, may_relay
from honeywood.gateway.rpc.headers import end_to_end
from honeywood.gateway.rpc.reply import BodyRemainder

RETRY_AFTER_S = 0.1  # after which a refused client may come again
# after which one may come again that met a proxy without a configuration: that comes within seconds, not at
# once, and each further refusal costs a try
NO_CONFIGURATION_RETRY_S = 1.0
BAD_REQUEST, UNAUTHORIZED, NOT_FOUND, BODY_TOO_LONG = 400, 401, 404, 413
BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504


@dataclass(slots=True)
class ClientResponse:
    """What a client gets; `remainder` is what follows a long body's start."""

    status: int
    headers: list
    body: bytes = b""
    remainder: BodyRemainder | None = None


def own_response(status, reason, retry_after_s=None):
    """An answer of the gateway's own."""
    headers = [(b"x-gateway", reason.encode())]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return ClientResponse(status, headers)


def relayed(reply):
    """An endpoint's answer as it came, or one of our own where its status would be a promise of ours."""
    if reply.status >= FIRST_FAILURE and not may_relay(reply.status):
        return own_response(BAD_GATEWAY, "the machine's answer makes no promise")
    headers = [one for one in end_to_end(reply.headers) if one[0] != b"content-length"]
    if reply.remainder is not None and b"content-length" in reply.fields:
        headers.append((b"content-length", reply.fields[b"content-length"]))
    return ClientResponse(reply.status, headers, reply.body, reply.remainder)
