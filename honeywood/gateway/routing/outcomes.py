"""Classification of an attempt by its response or the lack of one."""

from __future__ import annotations

from enum import StrEnum

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

NOT_RUN_STATUSES = (408, 421, 429, 503)  # guarantee to the client that its request did not and will not run
MISDIRECTED_REQUEST = 421  # RFC 9110, 15.5.20: another instance listens at the address
FIRST_SUCCESS = 200
FIRST_FAILURE = 300  # lowest final status that is not a success
LAST_STATUS = 599  # RFC 9110, 15: higher numbers are invalid


class AttemptOutcome(StrEnum):
    """How an attempt ended. The values appear in test descriptions and in logs.

    INVALID is a response to another request, or one that must not be sent to the client; as with NO_ANSWER,
    the request may have run. ABANDONED is an attempt that the proxy ended because its client had left: the
    request may have run, and the outcome gives no information about the endpoint.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not run"
    INVALID = "invalid"
    NO_ANSWER = "no answer"
    ABANDONED = "abandoned"


def classify_response(status: int, fields: Mapping[bytes, bytes], try_id: bytes) -> AttemptOutcome:
    """The outcome of an attempt that got a complete response.

    `fields` are the response's header fields, with names in lower case. A response must carry the request's
    `try_id`, and none if the request has none. A late "not run" with another id belongs to another request,
    so this one may still be running.
    """
    if fields.get(b"x-try-id") != (try_id or None):
        return AttemptOutcome.INVALID
    if fields.get(b"x-not-run") is not None or status == MISDIRECTED_REQUEST:
        return AttemptOutcome.NOT_RUN
    if not FIRST_SUCCESS <= status < FIRST_FAILURE:
        return AttemptOutcome.FAILURE
    unencoded = fields.get(b"content-encoding", b"identity") == b"identity"
    return AttemptOutcome.SUCCESS if try_id and b"x-seal" in fields and unencoded else AttemptOutcome.INVALID


def may_relay(status: int) -> bool:
    """Whether the status of an endpoint's failure may be forwarded to the client.

    A status in NOT_RUN_STATUSES may not: it would guarantee that the request did not run, which the endpoint
    has not stated by its X-Not-Run header.
    """
    return status not in NOT_RUN_STATUSES and FIRST_FAILURE <= status <= LAST_STATUS
