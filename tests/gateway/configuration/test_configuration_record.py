"""Outcomes of operators' orders to replace the configuration, according to its record."""

import json

from ward import test

from honeywood.gateway.configuration.record import (
    MAX_HISTORY,
    OrderOutcome,
    apply_order,
    content_digest,
    encode,
    order_outcome,
)


@test("a version is bound to the content recorded first, whether in force or superseded")
def _():
    recorded = apply_order(apply_order(None, 5, "", "x"), 9, "the last", "z")
    orders = (9, "z"), (9, "y"), (5, "x"), (5, "y"), (10, "z")
    assert [order_outcome(recorded, *order) for order in orders] == [
        OrderOutcome.ACCEPTED,
        OrderOutcome.CONFLICT,
        OrderOutcome.SUPERSEDED,
        OrderOutcome.CONFLICT,
        None,
    ]
    late = apply_order(recorded, 7, "", "first")  # arrives after version 9
    assert late.text == "the last" and apply_order(late, 7, "", "second") is late
    assert order_outcome(late, 7, "first") == OrderOutcome.SUPERSEDED
    assert order_outcome(late, 7, "second") == OrderOutcome.CONFLICT


@test("after 1,000 orders the record is bounded, and a version in it is not confirmed for another content")
def _():
    record = None
    for version in range(1, 1001):
        record = apply_order(record, version, "", content_digest(f"{version}".encode()))
    assert len(record.history) == MAX_HISTORY and len(json.dumps(encode(record))) < 8000
    assert order_outcome(record, 999, content_digest(b"999")) == OrderOutcome.SUPERSEDED
    assert order_outcome(record, 999, "another") == OrderOutcome.CONFLICT
    # below all kept orders: acknowledged, changes nothing
    assert order_outcome(record, 3, "another") == OrderOutcome.SUPERSEDED
