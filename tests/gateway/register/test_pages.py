"""Tests of long responses in pages."""

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


def receive(sender, receiver, now=0.0, damage=lambda page: page, limit=100):
    """Requests pages until the response is complete; returns None if it isn't after `limit` pages."""
    for _ in range(limit):
        position = receiver.position("q")
        page = sender.next_page(now, "q", position) or sender.start(now, "q", LONG)
        response = receiver.add("q", damage(json.loads(json.dumps(page.encode()))))
        if response is not None:
            return response
    return None


@test("a long response is sent in pages and arrives complete; a short one is sent at once")
def _():
    assert receive(PageSender(), PageReceiver()) == LONG
    assert PageSender().start(0.0, "q", {"a": 1}) is None
    assert PageReceiver().add("q", {"a": 1}) == {"a": 1}


def make_damage(rng):
    sent = []

    def damage(page):
        sent.append(dict(page))
        fault = rng.randrange(6)
        if fault == 0:
            return {**page, "part": page["part"][:-1]}
        if fault == 1:
            return {**page, "part": page["part"].replace("x", "y", 1)}
        if fault == 2:
            return rng.choice(sent)
        if fault == 3:
            return {**page, "mark": "another"}
        return page

    return damage


@test("pages that are damaged, truncated, repeated or of another response are ignored")
def _():
    for seed in range(50):
        damage = make_damage(random.Random(seed))
        assert receive(PageSender(), PageReceiver(), damage=damage, limit=400) == LONG


@test("a response that changed or expired starts again from its first page; the number kept is bounded")
def _():
    sender, receiver = PageSender(), PageReceiver()
    receiver.add("q", sender.start(0.0, "q", LONG).encode())
    assert sender.next_page(RESPONSE_TTL_S + 1.0, "q", receiver.position("q")) is None
    sender.start(0.0, "q", {**LONG, "more": 1})
    assert sender.next_page(0.0, "q", receiver.position("q")) is None
    assert receive(PageSender(), receiver) == LONG
    for n in range(3 * MAX_OPEN_RESPONSES):
        receiver.add(n, sender.start(0.0, n, LONG).encode())
    assert len(sender.open) == MAX_OPEN_RESPONSES == len(receiver.open)
