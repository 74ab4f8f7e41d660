"""Outcomes of orders to replace the configuration, by its record."""

import json

from ward import test

from honeywood.gateway.configuration.record import (
    MAX_HISTORY,
    OrderOutcome,
    after_order,
    content_digest,
    encode,
    order_outcome,
)


@test("a number stands for the content that was noted first, in force or overtaken")
def _():
    noted = after_order(after_order(None, 5, "", "x"), 9, "the last", "z")
    orders = (9, "z"), (9, "y"), (5, "x"), (5, "y"), (10, "z")
    assert [order_outcome(noted, *order) for order in orders] == [
        OrderOutcome.ACCEPTED,
        OrderOutcome.CONFLICT,
        OrderOutcome.SUPERSEDED,
        OrderOutcome.CONFLICT,
        None,
    ]
    late = after_order(noted, 7, "", "first")  # raced: 9 came before it
    assert late.text == "the last" and after_order(late, 7, "", "second") is late
    assert order_outcome(late, 7, "first") == OrderOutcome.SUPERSEDED
    assert order_outcome(late, 7, "second") == OrderOutcome.CONFLICT


@test("after a thousand orders the record is bounded, and no number below is confirmed for two by mistake")
def _():
    record = None
    for version in range(1, 1001):
        record = after_order(record, version, "", content_digest(f"{version}".encode()))
    assert len(record.history) == MAX_HISTORY and len(json.dumps(encode(record))) < 8000
    assert order_outcome(record, 999, content_digest(b"999")) == OrderOutcome.SUPERSEDED
    assert order_outcome(record, 999, "another") == OrderOutcome.CONFLICT
    # far behind: acknowledged, changes nothing
    assert order_outcome(record, 3, "another") == OrderOutcome.SUPERSEDED
