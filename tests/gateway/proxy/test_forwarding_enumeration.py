"""Requests cut at every byte and at every step of the loop, by scripted peers on a clock that jumps.

What must hold is in `CallScenario.broken`.
"""

from unittest.mock import patch

from call_scenario import FULL, NOBODYS, SPARE, TIMEOUT, CallScenario, good
from scripted_transport import STEP
from ward import each, test

from honeywood.gateway.proxy import attempt_sender, client_response
from honeywood.gateway.proxy.attempt_sender import LATE_RESPONSE_GRACE_S
from honeywood.gateway.routing.outcomes import AttemptOutcome, classify_response
from honeywood.gateway.routing.pending_request import PendingRequest
from honeywood.gateway.rpc import connection, tcp_stream


def cuts(whole, kind):
    """An answer cut at every byte by an end, a reset or silence; the same on a kept connection."""
    for n in range(len(whole) + 1):
        for how in ("eof", "reset", None):
            scenario = CallScenario(kind)

            def script(line, id, n=n, how=how, scenario=scenario):
                if n == len(whole) and b"X-Not-Run" in whole:
                    scenario.runs[id] -= 1
                line.say(whole[:n])
                if how:
                    line.loop.call_later(STEP, getattr(line, how))

            scenario.script = script
            yield scenario, (b"a1",)


def sends(kind):
    """A request on a fresh and on a kept connection, reset after each of its bytes."""
    for n in range(0, 210, 3):
        for kept in (False, True):
            scenario = CallScenario(kind)

            def most(line, id, n=n):
                line.most = n
                line.say(good(id))

            if kept:
                scenario.script = most
                yield scenario, (b"a1", b"a2")
            else:
                connect = scenario.loop.create_connection

                async def cut(factory, ip, port, scenario=scenario, connect=connect, n=n):
                    made = await connect(factory, ip, port)
                    made[0].most, scenario.loop.create_connection = n, connect
                    return made

                scenario.loop.create_connection = cut
                yield scenario, (b"a1",)


def strays(kind):
    """Another request's answer, good or a refusal, at each step of the loop and moment of a request."""
    for stray in (good(b"a1"), FULL % b"a1", good(b"zz"), FULL % b"zz", NOBODYS):
        for steps in range(14):

            def script(line, id, stray=stray, steps=steps):
                line.say(good(id))

                def later(left):
                    line.loop.call_soon(later, left - 1) if left else line.say(stray)

                later(steps)

            yield CallScenario(kind, script), (b"a1", b"a2")
        for moment in (0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0):  # in steps of the wire: the next is at work

            def slow(line, id, stray=stray, moment=moment):
                if id == b"a1":
                    line.say(good(id))
                    line.loop.call_later(moment * STEP, line.say, stray)
                else:
                    line.loop.call_later(5 * STEP, line.say, good(id))

            yield CallScenario(kind, slow, every=True), (b"a1", b"a2")


def silences(kind):
    """Answers about when time is up, whole or halved, and a program that stands still until then."""
    whole = good(b"a1")
    for n in (0, 1, len(whole) // 2, len(whole) - 1, len(whole)):
        for late in range(-12, 64, 4):

            def script(line, id, n=n, late=late):
                loop = line.loop
                loop.call_at(TIMEOUT - SPARE + late / 1000, line.say, whole[:n])
                loop.call_at(TIMEOUT - SPARE + late / 1000 + 0.02, line.say, whole[n:])

            yield CallScenario(kind, script), (b"a1", b"a2")
        for still in (0.3, TIMEOUT - SPARE, TIMEOUT, TIMEOUT + LATE_RESPONSE_GRACE_S, 2.0):

            def frozen(line, id, n=n, still=still):
                line.loop.now += still  # then what came is heard, and all timers are due
                line.say(whole[:n])
                line.loop.call_later(STEP, line.say, whole[n:])

            scenario = CallScenario(kind, frozen)
            scenario.still = still
            yield scenario, (b"a1", b"a2")


def rests(kind):
    """Another's answer, or the end, at each step of the loop after an answer, long before the next."""
    for stray in (good(b"a1"), FULL % b"a1", b"\x00", None):
        for steps in range(14):
            scenario = CallScenario(kind)

            def script(line, id, stray=stray, steps=steps):
                line.say(good(id))

                def later(left):
                    if left:
                        line.loop.call_soon(later, left - 1)
                    else:
                        line.say(stray) if stray else line.eof()

                later(steps)

            scenario.script, scenario.served = script, True
            yield scenario, (b"a1", b"a2")


def hedges(kind):
    """A machine that answers late, well or with a refusal, and one asked besides that refuses at once."""
    for late in range(40, 700, 20):
        for first in (good, FULL.__mod__, None):
            scenario = CallScenario(kind)

            def script(line, id, late=late, first=first, scenario=scenario):
                if id == b"a1" or scenario.runs[id] > 1:
                    scenario.runs[id] -= id != b"a1"
                    return line.say(good(id) if id == b"a1" else FULL % id)
                scenario.runs[id] -= first not in (good, None)
                return first and line.loop.call_later(late / 1000, line.say, first(id))

            scenario.script, scenario.every = script, True
            yield scenario, (b"a1", b"a2")


CLOSING = good(b"zz").replace(b"Content-Length", b"Connection: close\r\nContent-Length")


def surplus(kind):
    """Answers to others that come once the request has left, cut at any byte, and its own behind them."""
    own = 6 * STEP
    for before in (good(b"a1"), FULL % b"zz", good(b"zz") * 2, CLOSING):
        for n in range(0, len(before) + 1, 2):
            for follows in (True, False):

                def script(line, id, before=before, n=n, follows=follows):
                    line.loop.call_later(STEP, line.say, before[:n])
                    line.loop.call_later(2 * STEP, line.say, before[n:])
                    follows and line.loop.call_later(own, line.say, good(id))

                yield CallScenario(kind, script), (b"a1", b"a2")


ENDLESS = b"HTTP/1.1 200 OK\r\nX-Try-Id: a1\r\nX-Seal: s\r\n\r\na1"
FAMILIES = {
    "answers cut": lambda kind: cuts(good(b"a1"), kind),
    "refusals cut": lambda kind: cuts(FULL % b"a1", kind),
    "silent promises cut": lambda kind: cuts((FULL % b"a1").replace(b"X-Not-Run: 1\r\n", b""), kind),
    "endless answers": lambda kind: cuts(ENDLESS, kind),
    "requests cut": sends,
    "strays": strays,
    "strays at rest": rests,
    "surplus answers": surplus,
    "silences": silences,
    "hedges": hedges,
}


def found(family, kind):
    """What broke in a family: the first of it, and how many scenes were played."""
    played = 0
    for scenario, ids in FAMILIES[family](kind):
        played += 1
        broken = scenario.play(*ids, every=20 * STEP if scenario.served else 0.0)
        if broken:
            return broken, played
    return [], played


@test("{family}, {kind}: nothing unsafe runs twice, responses are their own, rejections hold, nothing leaks")
def _(family=each(*2 * [*FAMILIES]), kind=each(*["safe"] * len(FAMILIES), *["unsafe"] * len(FAMILIES))):
    broken, played = found(family, kind)
    assert not broken and played > 50


def lax(status, fields, id):
    refused = b"x-not-run" in fields or status == 421
    return AttemptOutcome.NOT_RUN if refused else classify_response(status, fields, id)


def anyones(status, fields, id):
    return classify_response(status, {**fields, b"x-try-id": id}, id)


FAILED = connection.ExchangeFailure
GUARDS = {  # each guard taken away: (what stands in its place, the family that shows it)
    "whose refusal it is": ((attempt_sender, "classify_response", lax), "strays"),
    "whose answer it is": ((attempt_sender, "classify_response", anyones), "strays"),
    "what may have run": ((PendingRequest, "may_have_run", property(lambda request: False)), "requests cut"),
    "what has left": (
        (connection, "ExchangeFailure", lambda why, sent, late=False, kind=FAILED: kind(why, False, late)),
        "requests cut",
    ),
    "where it ends": ((connection, "is_self_delimited", lambda *given: True), "endless answers"),
    "who may promise": ((client_response, "may_relay", lambda status: True), "silent promises cut"),
    "what came at rest": (
        (tcp_stream.TcpStream, "usable", property(lambda line: not (line.eof or line.error))),
        "strays at rest",
    ),
}


@test("without the check of {guard!r} the enumeration finds a violation")
def _(guard=each(*GUARDS)):
    (place, name, stand_in), family = GUARDS[guard]
    with patch.object(place, name, stand_in):
        assert found(family, "unsafe")[0]
