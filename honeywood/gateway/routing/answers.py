"""What came back from a machine means one of five things."""

GOOD, FAILED, NOT_RUN, SPOILT, SILENT = "good", "failed", "not run", "spoilt", "silent"
PROMISES = (408, 421, 429, 503)  # statuses that promise a client: not run, and never will be


def meaning(status, fields, try_id):
    """Of a whole answer's status and fields (lower-case bytes) to the request `try_id`.

    SPOILT is no answer to this request, or one that must not reach the client: it may have run. So is another
    request's "not run" that comes late: this one is at work. Where a request has no id its answer has none.
    """
    if fields.get(b"x-try-id") != (try_id or None):
        return SPOILT
    if fields.get(b"x-not-run") is not None or status == 421:
        return NOT_RUN
    if 200 <= status < 300:
        whole = try_id and b"x-seal" in fields and fields.get(b"content-encoding", b"identity") == b"identity"
        return GOOD if whole else SPOILT
    return FAILED


def may_pass(status):
    """Whether a machine's failure may go to the client as it is: a promise that was not made by the machine
    (it said nothing of not having run) would be ours."""
    return status not in PROMISES and 300 <= status < 600  # beyond are no statuses
