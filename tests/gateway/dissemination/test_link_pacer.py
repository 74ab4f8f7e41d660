"""Pacing of responses on a link."""

from ward import test

from honeywood.gateway.dissemination.link_pacer import (
    LINK_SHARE,
    MAX_RESPONSE_BYTES,
    MIN_RESPONSE_BYTES,
    LinkPacer,
    response_limit,
)


@test("answers on a slow link go one after the other, within its part; who would wait long is sent away")
def _():
    pace, now, left = LinkPacer(300_000), 0.0, []
    for _ in range(20):
        if pace.backlog_s(now) <= 0.25:
            left.append(now + pace.schedule(now, 30_000))
        now += 0.05
    sent = sum(at < 1.0 for at in left)
    assert (
        30_000 * (sent - 1) <= LINK_SHARE * 300_000 and max(at - 0.05 * n for n, at in enumerate(left)) < 2.0
    )
    assert (
        response_limit(300_000) == 36_000
        and response_limit(1) == MIN_RESPONSE_BYTES
        and response_limit(1e9) == MAX_RESPONSE_BYTES
    )
