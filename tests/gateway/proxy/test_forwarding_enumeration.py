"""Requests and responses that scripted peers cut at every byte and at every step of the event loop.

`CallScenario.find_violations` checks what must hold.
"""

from unittest.mock import patch

from call_scenario import FULL, MARGIN_S, MISDIRECTED, TIMEOUT_S, CallScenario, good
from scripted_transport import STEP
from timeline import machine
from ward import each, test

from honeywood.gateway.proxy import attempt_sender, client_response
from honeywood.gateway.proxy.attempt_sender import LATE_RESPONSE_GRACE_S
from honeywood.gateway.routing.outcomes import AttemptOutcome, classify_response
from honeywood.gateway.routing.pending_request import PendingRequest
from honeywood.gateway.rpc import connection, tcp_stream


def cut_responses(whole, kind):
    """Scenarios with a response that is cut at every byte: by end of stream, by a reset or by silence."""
    for offset in range(len(whole) + 1):
        for how in ("eof", "reset", None):
            scenario = CallScenario(kind)

            def script(transport, id, offset=offset, how=how, scenario=scenario):
                if offset == len(whole) and b"X-Not-Run" in whole:
                    scenario.runs[id] -= 1
                transport.say(whole[:offset])
                if how:
                    transport.loop.call_later(STEP, getattr(transport, how))

            scenario.script = script
            yield scenario, (b"a1",)


def cut_requests(kind):
    """Scenarios with a request on a new and on a kept connection that is reset after every third byte."""
    for offset in range(0, 210, 3):
        for kept in (False, True):
            scenario = CallScenario(kind)

            def reset_next(transport, id, offset=offset):
                transport.max_write_bytes = offset
                transport.say(good(id))

            if kept:
                scenario.script = reset_next
                yield scenario, (b"a1", b"a2")
            else:
                connect = scenario.loop.create_connection

                async def connect_cut(factory, ip, port, scenario=scenario, connect=connect, offset=offset):
                    connected = await connect(factory, ip, port)
                    connected[0].max_write_bytes, scenario.loop.create_connection = offset, connect
                    return connected

                scenario.loop.create_connection = connect_cut
                yield scenario, (b"a1",)


def stray_responses(kind):
    """Scenarios with a response to another request, a success or a rejection, at each step of a request."""
    for stray in (good(b"a1"), FULL % b"a1", good(b"zz"), FULL % b"zz", MISDIRECTED):
        for steps in range(14):

            def script(transport, id, stray=stray, steps=steps):
                transport.say(good(id))

                def later(left):
                    transport.loop.call_soon(later, left - 1) if left else transport.say(stray)

                later(steps)

            yield CallScenario(kind, script), (b"a1", b"a2")
        for delay in (0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0):  # in units of STEP: the next request is in flight

            def slow(transport, id, stray=stray, delay=delay):
                if id == b"a1":
                    transport.say(good(id))
                    transport.loop.call_later(delay * STEP, transport.say, stray)
                else:
                    transport.loop.call_later(5 * STEP, transport.say, good(id))

            yield CallScenario(kind, slow, scripts_all=True), (b"a1", b"a2")


def late_responses(kind):
    """Scenarios with a response about the deadline, complete or in two parts, or with a suspended proxy."""
    whole = good(b"a1")
    for offset in (0, 1, len(whole) // 2, len(whole) - 1, len(whole)):
        for late_ms in range(-12, 64, 4):

            def script(transport, id, offset=offset, late_ms=late_ms):
                loop = transport.loop
                loop.call_at(TIMEOUT_S - MARGIN_S + late_ms / 1000, transport.say, whole[:offset])
                loop.call_at(TIMEOUT_S - MARGIN_S + late_ms / 1000 + 0.02, transport.say, whole[offset:])

            yield CallScenario(kind, script), (b"a1", b"a2")
        for suspended_s in (0.3, TIMEOUT_S - MARGIN_S, TIMEOUT_S, TIMEOUT_S + LATE_RESPONSE_GRACE_S, 2.0):

            def suspend(transport, id, offset=offset, suspended_s=suspended_s):
                transport.loop.now += suspended_s  # then the response is read, and all timers are due
                transport.say(whole[:offset])
                transport.loop.call_later(STEP, transport.say, whole[offset:])

            scenario = CallScenario(kind, suspend)
            scenario.suspended_s = suspended_s
            yield scenario, (b"a1", b"a2")


def idle_connections(kind):
    """Scenarios with a stray response, or the end of stream, on an idle connection at each step."""
    for stray in (good(b"a1"), FULL % b"a1", b"\x00", None):
        for steps in range(14):
            scenario = CallScenario(kind)

            def script(transport, id, stray=stray, steps=steps):
                transport.say(good(id))

                def later(left):
                    if left:
                        transport.loop.call_soon(later, left - 1)
                    else:
                        transport.say(stray) if stray else transport.eof()

                later(steps)

            scenario.script, scenario.must_succeed = script, True
            yield scenario, (b"a1", b"a2")


def maintained_connections(kind):
    """Scenarios of one machine with a stray response, an end of stream or a reset on each idle connection.

    Each comes at each step of the event loop after a response, before the maintenance runs.
    """
    for stray in (good(b"a1"), FULL % b"a1", b"\x00", "eof", "reset"):
        for steps in range(14):
            scenario = CallScenario(kind)

            def script(transport, id, stray=stray, steps=steps):
                transport.say(good(id))

                def later(left):
                    if left:
                        transport.loop.call_soon(later, left - 1)
                    elif isinstance(stray, str):
                        getattr(transport, stray)()
                    else:
                        transport.say(stray)

                later(steps)

            scenario.script, scenario.scripts_all = script, True
            scenario.must_succeed = scenario.maintains = True
            scenario.proxy.records.apply("machine/n", machine("n", state="draining"))
            yield scenario, (b"a1", b"a2", b"a3", b"a4")


def hedged_requests(kind):
    """Scenarios with a machine that responds late or never, and a hedged attempt that is rejected at once."""
    for late_ms in range(40, 700, 20):
        for first in (good, FULL.__mod__, None):
            scenario = CallScenario(kind)

            def script(transport, id, late_ms=late_ms, first=first, scenario=scenario):
                if id == b"a1" or scenario.runs[id] > 1:
                    scenario.runs[id] -= id != b"a1"
                    return transport.say(good(id) if id == b"a1" else FULL % id)
                scenario.runs[id] -= first not in (good, None)
                return first and transport.loop.call_later(late_ms / 1000, transport.say, first(id))

            scenario.script, scenario.scripts_all = script, True
            yield scenario, (b"a1", b"a2")


CLOSING = good(b"zz").replace(b"Content-Length", b"Connection: close\r\nContent-Length")


def surplus_responses(kind):
    """Scenarios with responses to other requests after the request was sent, cut at every second byte.

    The response to the request itself follows them, or not.
    """
    own_after_s = 6 * STEP
    for before in (good(b"a1"), FULL % b"zz", good(b"zz") * 2, CLOSING):
        for offset in range(0, len(before) + 1, 2):
            for follows in (True, False):

                def script(transport, id, before=before, offset=offset, follows=follows):
                    transport.loop.call_later(STEP, transport.say, before[:offset])
                    transport.loop.call_later(2 * STEP, transport.say, before[offset:])
                    follows and transport.loop.call_later(own_after_s, transport.say, good(id))

                yield CallScenario(kind, script), (b"a1", b"a2")


UNDELIMITED = b"HTTP/1.1 200 OK\r\nX-Try-Id: a1\r\nX-Seal: s\r\n\r\na1"
FAMILIES = {
    "cut responses": lambda kind: cut_responses(good(b"a1"), kind),
    "cut rejections": lambda kind: cut_responses(FULL % b"a1", kind),
    "cut rejections without X-Not-Run": lambda kind: cut_responses(
        (FULL % b"a1").replace(b"X-Not-Run: 1\r\n", b""), kind
    ),
    "cut responses without a length": lambda kind: cut_responses(UNDELIMITED, kind),
    "cut requests": cut_requests,
    "stray responses": stray_responses,
    "stray responses on idle connections": idle_connections,
    "stray responses on maintained connections": maintained_connections,
    "surplus responses": surplus_responses,
    "late responses": late_responses,
    "hedged requests": hedged_requests,
}


def play_family(family, kind):
    """Returns the violations of the first scenario that has any, and the number of scenarios played."""
    played = 0
    for scenario, ids in FAMILIES[family](kind):
        played += 1
        violations = scenario.play(*ids, pause_s=20 * STEP if scenario.must_succeed else 0.0)
        if violations:
            return violations, played
    return [], played


@test("{family}, {kind}: unsafe requests run once, responses match, rejections hold, nothing leaks")
def _(family=each(*2 * [*FAMILIES]), kind=each(*["safe"] * len(FAMILIES), *["unsafe"] * len(FAMILIES))):
    violations, played = play_family(family, kind)
    assert not violations and played > 50


def classify_rejection_of_any_request(status, fields, id):
    not_run = b"x-not-run" in fields or status == 421
    return AttemptOutcome.NOT_RUN if not_run else classify_response(status, fields, id)


def classify_response_to_any_request(status, fields, id):
    return classify_response(status, {**fields, b"x-try-id": id}, id)


FAILURE = connection.ExchangeFailure
CHECKS = {  # by name of a check: (what replaces it, the family that finds a violation)
    "a rejection has the id of the request": (
        (attempt_sender, "classify_response", classify_rejection_of_any_request),
        "stray responses",
    ),
    "a response has the id of the request": (
        (attempt_sender, "classify_response", classify_response_to_any_request),
        "stray responses",
    ),
    "a request can't have run": (
        (PendingRequest, "may_have_run", property(lambda request: False)),
        "cut requests",
    ),
    "no byte of a request was sent": (
        (
            connection,
            "ExchangeFailure",
            lambda reason, sent, timed_out=False, kind=FAILURE: kind(reason, False, timed_out),
        ),
        "cut requests",
    ),
    "a response has a known end": (
        (connection, "is_self_delimited", lambda *arguments: True),
        "cut responses without a length",
    ),
    "a status may be relayed": (
        (client_response, "may_relay", lambda status: True),
        "cut rejections without X-Not-Run",
    ),
    "nothing arrived on an idle connection": (
        (tcp_stream.TcpStream, "usable", property(lambda stream: not (stream.eof or stream.error))),
        "stray responses on idle connections",
    ),
}


@test("without the check that {check} the enumeration finds a violation")
def _(check=each(*CHECKS)):
    (owner, name, replacement), family = CHECKS[check]
    with patch.object(owner, name, replacement):
        assert play_family(family, "unsafe")[0]
