"""Classification of responses, and which failures may be relayed."""

from ward import each, test

from honeywood.gateway.routing.outcomes import classify_response, may_relay

ID = {b"x-try-id": b"id"}
SEALED = {**ID, b"x-seal": b"s"}


@test("a response of status {status} with {fields} is classified as {outcome}")
def _(
    status=each(200, 200, 200, 200, 500, 503, 503, 421, 429, 503, 421, 503),
    fields=each(
        SEALED,
        {b"x-try-id": b"other", b"x-seal": b"s"},
        {b"x-try-id": b"id"},
        {**SEALED, b"content-encoding": b"gzip"},
        SEALED,
        {**ID, b"x-not-run": b"1"},
        SEALED,
        {**ID, b"x-instance": b"i"},
        {**ID, b"x-not-run": b"1"},
        {b"x-try-id": b"other", b"x-not-run": b"1"},
        {b"x-try-id": b"other", b"x-instance": b"i"},
        {b"x-not-run": b"1"},
    ),
    outcome=each(
        "success",
        *["invalid"] * 3,
        "failure",
        "not run",
        "failure",
        "not run",
        "not run",
        *["invalid"] * 3,
    ),
):
    # A late response carries another id. A success without X-Seal is invalid. "Not run" with another id, or
    # without any, doesn't refer to this request, which may be running.
    assert classify_response(status, fields, b"id") == outcome


@test("a request without an id accepts a refusal without an id, and no other response")
def _():
    refused = classify_response(400, {b"x-not-run": b"1"}, b"")
    answered = classify_response(200, {b"x-seal": b"s"}, b"")
    assert [refused, answered] == ["not run", "invalid"]
    assert classify_response(421, ID, b"") == "invalid"


@test("a failure is relayed unless its status is invalid or guarantees that the request did not run")
def _():
    relayed = [may_relay(status) for status in (500, 504, 404, 503, 429, 421, 408, 600, 999)]
    assert relayed == [True] * 3 + [False] * 6
