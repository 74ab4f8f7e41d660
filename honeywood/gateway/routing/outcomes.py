"""What an attempt of a request at an endpoint came to."""

from enum import StrEnum

PROMISES = (408, 421, 429, 503)  # statuses that promise a client: not run, and never will be
FIRST_FAILURE, LAST_STATUS = 300, 599  # of final statuses; beyond are none


class AttemptOutcome(StrEnum):
    """How an attempt ended. INVALID is no answer to this request, or one that must not reach its client; so
    it may have run, as with NO_ANSWER. ABANDONED was ended by us, since its client had left: it may have run,
    and says nothing of its endpoint."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not run"
    INVALID = "invalid"
    NO_ANSWER = "no answer"
    ABANDONED = "abandoned"


def classify(status, fields, try_id):
    """The AttemptOutcome of a whole answer's status and fields (lower-case bytes) to the request `try_id`.

    Another request's "not run" that comes late says nothing of this one, which is at work. Where a request
    has no id its answer has none.
    """
    if fields.get(b"x-try-id") != (try_id or None):
        return AttemptOutcome.INVALID
    if fields.get(b"x-not-run") is not None or status == 421:
        return AttemptOutcome.NOT_RUN
    if not 200 <= status < FIRST_FAILURE:
        return AttemptOutcome.FAILURE
    plain = fields.get(b"content-encoding", b"identity") == b"identity"
    return AttemptOutcome.SUCCESS if try_id and b"x-seal" in fields and plain else AttemptOutcome.INVALID


def may_relay(status):
    """Whether an endpoint's failure may go to the client as it is: a promise that was not made by the
    endpoint (it said nothing of not having run) would be ours."""
    return status not in PROMISES and FIRST_FAILURE <= status <= LAST_STATUS
