"""Long answers in pages."""

import json
import random

from ward import test

from honeywood.gateway.register.pages import (
    MAX_OPEN_RESPONSES,
    RESPONSE_TTL_S,
    PageReceiver,
    PageSender,
)

LONG = {"rows": {f"k{n}": [[n, "a"], [n, "a"], "x" * 1000] for n in range(300)}}


def received(sender, receiver, now=0.0, spoil=lambda page: page, limit=100):
    """Asks until the answer is complete; None where it isn't after `limit` pages."""
    for _ in range(limit):
        position = receiver.position("q")
        page = sender.next_page(now, "q", position) or sender.start(now, "q", LONG)
        answer = receiver.add("q", spoil(json.loads(json.dumps(page.encode()))))
        if answer is not None:
            return answer
    return None


@test("a long answer comes in pages and is complete; a short one is sent at once")
def _():
    assert received(PageSender(), PageReceiver()) == LONG
    assert PageSender().start(0.0, "q", {"a": 1}) is None
    assert PageReceiver().add("q", {"a": 1}) == {"a": 1}


def spoiler(draw):
    sent = []

    def spoil(page):
        sent.append(dict(page))
        what = draw.randrange(6)
        if what == 0:
            return {**page, "part": page["part"][:-1]}
        if what == 1:
            return {**page, "part": page["part"].replace("x", "y", 1)}
        if what == 2:
            return draw.choice(sent)
        if what == 3:
            return {**page, "mark": "another"}
        return page

    return spoil


@test("pages that are lost, damaged, cut, sent twice or of another answer change nothing")
def _():
    for seed in range(50):
        spoil = spoiler(random.Random(seed))
        assert received(PageSender(), PageReceiver(), spoil=spoil, limit=400) == LONG


@test("an answer that changed, or is kept no more, starts anew; no more than so many are kept")
def _():
    sender, receiver = PageSender(), PageReceiver()
    receiver.add("q", sender.start(0.0, "q", LONG).encode())
    assert sender.next_page(RESPONSE_TTL_S + 1.0, "q", receiver.position("q")) is None
    sender.start(0.0, "q", {**LONG, "more": 1})
    assert sender.next_page(0.0, "q", receiver.position("q")) is None
    assert received(PageSender(), receiver) == LONG
    for n in range(3 * MAX_OPEN_RESPONSES):
        receiver.add(n, sender.start(0.0, n, LONG).encode())
    assert len(sender.open) == MAX_OPEN_RESPONSES == len(receiver.open)
