"""What a response, or its absence, says of an attempt."""

from __future__ import annotations

from enum import StrEnum

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

NOT_RUN_STATUSES = (408, 421, 429, 503)  # promise a client that its request has not run and never will
MISDIRECTED_REQUEST = 421  # RFC 9110, 15.5.20: another instance listens where this one was expected
FIRST_SUCCESS = 200
FIRST_FAILURE = 300  # of final statuses
LAST_STATUS = 599  # RFC 9110, 15: beyond are no statuses


class AttemptOutcome(StrEnum):
    """How an attempt ended. The values stand in tests' descriptions and in logs.

    INVALID is a response to another request, or one that must not reach the client; so the request may have
    run, as with NO_ANSWER. ABANDONED was ended by the proxy after its client had left: it may have run, and
    says nothing of its endpoint.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not run"
    INVALID = "invalid"
    NO_ANSWER = "no answer"
    ABANDONED = "abandoned"


def classify_response(status: int, fields: Mapping[bytes, bytes], try_id: bytes) -> AttemptOutcome:
    """The outcome by a complete response to the request `try_id`; `fields` has lower-case names.

    A late "not run" that belongs to another request says nothing of this one, which may be running. The
    response to a request without an id has none.
    """
    if fields.get(b"x-try-id") != (try_id or None):
        return AttemptOutcome.INVALID
    if fields.get(b"x-not-run") is not None or status == MISDIRECTED_REQUEST:
        return AttemptOutcome.NOT_RUN
    if not FIRST_SUCCESS <= status < FIRST_FAILURE:
        return AttemptOutcome.FAILURE
    plain = fields.get(b"content-encoding", b"identity") == b"identity"
    return AttemptOutcome.SUCCESS if try_id and b"x-seal" in fields and plain else AttemptOutcome.INVALID


def may_relay(status: int) -> bool:
    """Whether an endpoint's failure may be passed to the client with its status.

    A status that promises "not run" may not: the endpoint made no such promise, so it would be the proxy's.
    """
    return status not in NOT_RUN_STATUSES and FIRST_FAILURE <= status <= LAST_STATUS
