"""Responses to other requests that arrive while an attempt is in flight."""

from collections import Counter

from call_scenario import FULL, CallScenario, good
from scripted_transport import STEP
from ward import each, test


def play_surplus(kind, count, own_after, method=b"POST"):
    """Sends a request on a kept connection that then carries `count` responses to other requests.

    The response to the request itself follows after `own_after` steps, or never if that is None. Returns the
    violations, the request's status, the steps that it took, and how often it was sent.
    """

    def script(transport, id):
        if id == b"a1":
            return transport.say(good(id))
        for n in range(count):
            transport.loop.call_later((2 + n / 4) * STEP, transport.say, good(b"zz"))
        own_after and transport.loop.call_later(own_after * STEP, transport.say, good(id))

    def script_first(transport, id):
        script(transport, id) if scenario.runs[id] == 1 else transport.loop.call_later(
            9 * STEP, transport.say, good(id)
        )

    scenario = CallScenario(kind, script_first, scripts_all=True)
    scenario.method = method
    violations = scenario.play(b"a1", b"a2", b"a3")
    status, _, elapsed_s = scenario.responses[b"a2"]
    return violations, status, round(elapsed_s / STEP), scenario.runs[b"a2"]


@test("{count} surplus responses, then the one to a {kind} request after {own} steps: {status} after {steps}")
def _(
    kind=each("unsafe", "unsafe", "unsafe", "unsafe", "safe", "safe"),
    count=each(1, 2, 3, 1, 1, 1),
    own=each(9, 9, 9, None, 9, None),
    status=each(200, 200, 502, 504, 200, 200),
    steps=each(10, 10, 3, 596, 10, 14),
    sends=each(1, 1, 1, 1, 2, 2),
):
    # Without reading past surplus responses, an unsafe request got 502 although its machine was running it
    # and answered in time.
    assert play_surplus(kind, count, own) == ([], status, steps, sends)


@test("after {method} a surplus response closes the connection if the end of the response is ambiguous")
def _(method=each(b"HEAD", b"GET")):
    _, status, *_ = play_surplus("unsafe", 1, 9, method)
    assert status == (200 if method == b"GET" else 502)


@test("an attempt that {how} is counted as not run, with the reason {reason}")
def _(
    how=each("its machine rejects", "is misdirected", "can't be sent"),
    reason=each("503", "421", "not sent"),
):
    def script(transport, id):
        scenario.runs[id] -= 1
        rejection = FULL.replace(b"503", reason.encode()) if reason.isdigit() else b""
        transport.say(rejection % id if rejection else b"")

    scenario = CallScenario("unsafe", script, scripts_all=True)
    if reason == "not sent":
        create_connection = scenario.loop.create_connection

        async def connect_to_ended(factory, ip, port):
            transport, protocol = await create_connection(factory, ip, port)
            protocol.eof_received()
            return transport, protocol

        scenario.loop.create_connection = connect_to_ended
    assert not scenario.play(b"a1")
    rejections = {name: count for name, count in scenario.proxy.counters.counts.items() if "not run" in name}
    assert rejections == {f"attempts not run: {reason}": 2}  # one at each machine


@test("the second copy of a rejection, {late} steps late, doesn't reject another attempt of its request")
def _(late=each(*(n / 2 for n in range(1, 16)))):
    # An unsafe request was answered 503 or sent to another machine while its third attempt ran: the copy came
    # on that attempt's connection and carried the id that all attempts of a request share.
    received = Counter()

    def reject_twice_then_execute(transport, id):
        received[id] += 1
        if id != b"a1":
            transport.say(good(id))
        elif received[id] > 2:
            transport.loop.call_later(9 * STEP, transport.say, good(id))
        else:
            scenario.runs[id] -= 1
            transport.say(FULL % id)
            transport.loop.call_later(late * STEP, transport.say, FULL % id)

    scenario = CallScenario("unsafe", reject_twice_then_execute, scripts_all=True)
    earlier = [b"b%d" % n for n in range(30)]  # which earn the retry budget for three attempts
    assert not scenario.play(*earlier, b"a1")
    assert received[b"a1"] >= 3
