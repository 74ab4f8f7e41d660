"""Responses to other requests that come while an attempt is in flight."""

from call_scenario import CallScenario, good
from scripted_transport import STEP
from ward import each, test


def under_way(kind, count, own_after, method=b"POST"):
    """A request on a kept connection on which `count` answers to others come once it has left, and its own
    after so many steps, or never: its status, steps, sends, and the connections that were opened."""

    def script(line, id):
        if id == b"a1":
            return line.say(good(id))
        for n in range(count):
            line.loop.call_later((2 + n / 4) * STEP, line.say, good(b"zz"))
        own_after and line.loop.call_later(own_after * STEP, line.say, good(id))

    def once(line, id):
        script(line, id) if scenario.runs[id] == 1 else line.loop.call_later(9 * STEP, line.say, good(id))

    scenario = CallScenario(kind, once, every=True)
    scenario.method = method
    broken = scenario.play(b"a1", b"a2", b"a3")
    status, _, took = scenario.answers[b"a2"]
    return broken, status, round(took / STEP), scenario.runs[b"a2"]


@test("{count} surplus responses, a {kind} request's own after {own} steps: {status} after {steps} steps")
def _(
    kind=each("unsafe", "unsafe", "unsafe", "unsafe", "safe", "safe"),
    count=each(1, 2, 3, 1, 1, 1),
    own=each(9, 9, 9, None, 9, None),
    status=each(200, 200, 502, 504, 200, 200),
    steps=each(10, 10, 3, 596, 10, 14),
    sends=each(1, 1, 1, 1, 2, 2),
):
    # Without reading on, an unsafe request got 502 though its machine was running it and answered in time.
    assert under_way(kind, count, own) == ([], status, steps, sends)


@test("after {method} a surplus response ends the connection where its end can't be known")
def _(method=each(b"HEAD", b"GET")):
    _, status, *_ = under_way("unsafe", 1, 9, method)
    assert status == (200 if method == b"GET" else 502)
