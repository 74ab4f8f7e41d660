"""Pacing of responses on a link."""

from ward import test

from honeywood.gateway.dissemination.link_pacer import (
    LINK_SHARE,
    MAX_RESPONSE_BYTES,
    MIN_RESPONSE_BYTES,
    LinkPacer,
    response_limit,
)


@test("responses on a slow link are sent one after another, within their share of it")
def _():
    pacer, now, sent_at = LinkPacer(300_000), 0.0, []
    for _ in range(20):
        if pacer.backlog_s(now) <= 0.25:
            sent_at.append(now + pacer.schedule(now, 30_000))
        now += 0.05
    sent = sum(at < 1.0 for at in sent_at)
    assert 30_000 * (sent - 1) <= LINK_SHARE * 300_000
    assert max(at - 0.05 * n for n, at in enumerate(sent_at)) < 2.0
    assert response_limit(300_000) == 36_000
    assert response_limit(1) == MIN_RESPONSE_BYTES and response_limit(1e9) == MAX_RESPONSE_BYTES
