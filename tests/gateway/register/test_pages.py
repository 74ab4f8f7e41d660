"""Long answers in pages."""

import json
import random

from ward import test

from honeywood.gateway.register.pages import KEPT, OPEN, PageReceiver, PageSender

LONG = {"rows": {f"k{n}": [[n, "a"], [n, "a"], "x" * 1000] for n in range(300)}}


def gone_on(teller, hearer, now=0.0, spoil=lambda part: part, most=100):
    """Asks until the answer is whole; None where it isn't after `most` asks."""
    for _ in range(most):
        have = hearer.have("q")
        part = teller.go_on(now, "q", have) or teller.begin(now, "q", LONG)
        found = hearer.take("q", spoil(json.loads(json.dumps(part))))
        if found is not None:
            return found
    return None


@test("a long answer comes in parts and is whole; a short one comes at once")
def _():
    assert gone_on(PageSender(), PageReceiver()) == LONG
    assert PageSender().begin(0.0, "q", {"a": 1}) == {"a": 1} == PageReceiver().take("q", {"a": 1})


def spoiler(draw):
    told = []

    def spoil(part):
        told.append(dict(part))
        what = draw.randrange(6)
        if what == 0:
            return {**part, "part": part["part"][:-1]}
        if what == 1:
            return {**part, "part": part["part"].replace("x", "y", 1)}
        if what == 2:
            return draw.choice(told)
        if what == 3:
            return {**part, "mark": "another"}
        return part

    return spoil


@test("parts that are lost, damaged, cut, told twice or of another answer change nothing")
def _():
    for seed in range(50):
        assert gone_on(PageSender(), PageReceiver(), spoil=spoiler(random.Random(seed)), most=400) == LONG


@test("an answer that changed, or is kept no more, begins anew; no more than so many are kept")
def _():
    teller, hearer = PageSender(), PageReceiver()
    hearer.take("q", teller.begin(0.0, "q", LONG))
    assert teller.go_on(KEPT + 1.0, "q", hearer.have("q")) is None
    teller.begin(0.0, "q", {**LONG, "more": 1})
    assert teller.go_on(0.0, "q", hearer.have("q")) is None and gone_on(PageSender(), hearer) == LONG
    for n in range(3 * OPEN):
        hearer.take(n, teller.begin(0.0, n, LONG))
    assert len(teller.open) == OPEN == len(hearer.open)
