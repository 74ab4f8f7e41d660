"""rpc/protocol.py with a real proxy: pipelining, closing, idle connections, call ids."""

from call_scenario import REQUEST, CallScenario, ScriptedClient, good
from scripted_transport import STEP
from ward import each, test

from honeywood.gateway.configuration.model import Limits
from honeywood.gateway.rpc.protocol import LINGER_S


@test("pipelined requests that arrive split at any byte are answered in order, each with its own response")
def _():
    requests = b"".join(REQUEST % (b"GET", id, b"") for id in (b"a1", b"a2", b"a3"))
    for n in range(0, len(requests), 2):
        scenario = CallScenario()
        client = ScriptedClient(scenario)
        scenario.loop.call_soon(client.say, requests[:n])
        scenario.loop.call_later(2.5 * STEP, client.say, requests[n:])
        client.run(1.0)
        assert client.ids == [b"a1", b"a2", b"a3"] and client.out.count(b"200 OK") == 3
        assert all(b"\r\n\r\n" + id in client.out for id in client.ids)
        assert set(scenario.runs.values()) == {1}


@test("requests pipelined behind a response that closes the connection, {why}, are not run")
def _(why=each("as the client asks", "as the proxy stops", "as the proxy stops, idempotent")):
    scenario = CallScenario("safe" if "idempotent" in why else "unsafe")
    client, method = ScriptedClient(scenario), b"GET" if "idempotent" in why else b"POST"
    if "proxy" in why:
        scenario.proxy.stopping.set()
    close = b"" if "proxy" in why else b"Connection: close\r\n"
    scenario.loop.call_soon(client.say, REQUEST % (method, b"a1", close) + REQUEST % (method, b"a2", b""))
    client.run(1.0)
    assert client.ids == [b"a1"] and scenario.runs == {b"a1": 1} and client.closing


@test("pipelined requests started before the proxy stops, {how}, are answered before the connection closes")
def _(how=each("signalled", "and closes its listeners")):
    # The first response used to close the connection, so that later requests, which endpoints were already
    # processing, lost their responses.
    def answer_slowly(transport, id):
        transport.loop.call_later(0.1, transport.say, good(id))

    scenario = CallScenario(script=answer_slowly)
    client = ScriptedClient(scenario)
    requests = b"".join(REQUEST % (b"GET", id, b"") for id in (b"a1", b"a2", b"a3"))
    scenario.loop.call_soon(client.say, requests)
    client.run(0.05)
    scenario.proxy.stopping.set()
    if "closes" in how:
        client.protocol.shutdown()
    client.say(REQUEST % (b"GET", b"a4", b""))
    client.run(1.0)
    assert client.ids == [b"a1", b"a2", b"a3"] and client.closing
    assert scenario.runs == {b"a1": 1, b"a2": 1, b"a3": 1}


@test("idle_s changes from {before} to {after}: an idle connection is still open after {at} s: {is_open}")
def _(
    before=each(5, 5, 5, 5, 15, 15),
    after=each(5, 5, 15, 15, 5, 5),
    at=each(4.9, 5.2, 14.8, 15.2, 14.8, 15.2),
    is_open=each(True, False, True, False, True, False),
):
    # Clients reuse connections for up to four fifths of idle_s, of either the old or the new configuration.
    scenario = CallScenario()
    scenario.proxy.configuration.limits = Limits(idle_s=before)
    client = ScriptedClient(scenario)
    client.say(REQUEST % (b"GET", b"a1", b""))
    client.run(1.0)
    scenario.proxy.configuration.limits = Limits(idle_s=after)
    assert client.run(at).closing != is_open


@test("a request received while the proxy was suspended is read before its connection is closed as idle")
def _():
    scenario = CallScenario()
    scenario.proxy.configuration.limits = Limits(idle_s=5)
    client = ScriptedClient(scenario)
    client.say(REQUEST % (b"GET", b"a1", b""))

    def suspend():
        scenario.loop.now += 3.0  # after the suspension, input is read before timers that are due
        client.say(REQUEST % (b"GET", b"a2", b""))

    scenario.loop.call_at(4.0, suspend)
    assert client.run(9.0).ids == [b"a1", b"a2"] and not client.closing


@test("each response to a call between programs repeats its id, including a rejection")
def _():
    client = ScriptedClient(CallScenario(), port=7000)
    client.say(b"POST /news HTTP/1.1\r\nHost: f\r\nX-Call-Id: c-1\r\nContent-Length: 2\r\n\r\n{}")
    client.say(b"GET /else HTTP/1.1\r\nHost: f\r\nX-Call-Id: c-2\r\n\r\n")
    out = client.run(1.0).out
    assert out.startswith(b"HTTP/1.1 400") and out.index(b"x-call-id: c-1") < out.index(b"x-call-id: c-2")


PART = REQUEST.replace(b"Content-Length: 0", b"Content-Length: 9") % (b"POST", b"a2", b"") + b"body"
BEHIND = {
    "a body that is not complete within idle_s": PART,
    "a head that is not complete within header_s": PART[:30],
    "bytes that are no request": b"\x00\r\n\r\n",
    "a head that is too long": REQUEST % (b"GET", b"a2", b"X-Long: %s\r\n" % (b"x" * 20_000)),
    "a head that is ambiguous": REQUEST % (b"GET", b"a2", b"Host: other\r\n"),
    "a chunk that is none": REQUEST.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    % (b"POST", b"a2", b"")
    + b"zz\r\n",
}


@test("an unsafe request that runs is answered though {behind} was sent behind it")
def _(behind=each(*BEHIND)):
    # The connection was reset while the request ran, so that its client took it for unread and sent it again.
    def answer_late(transport, id):
        transport.loop.call_later(0.5, transport.say, good(id))

    scenario = CallScenario("unsafe", answer_late, scripts_all=True)
    scenario.proxy.configuration.limits = Limits(header_s=0.2, idle_s=0.2)
    client = ScriptedClient(scenario)
    client.say(REQUEST % (b"POST", b"a1", b""))
    client.run(0.1)
    client.say(BEHIND[behind])
    client.run(0.4)
    assert not client.closing
    client.run(1.5)
    assert client.ids == [b"a1"] and client.closing
    assert scenario.runs == {b"a1": 1} and not scenario.find_violations()


@test("what a client sends behind a closing response is discarded; the connection is closed after LINGER_S")
def _():
    scenario = CallScenario("unsafe")
    client = ScriptedClient(scenario)
    client.write_eof = lambda: None  # a client that doesn't close its connection
    client.say(REQUEST % (b"POST", b"a1", b"Connection: close\r\n"))
    client.run(0.1)
    client.say(REQUEST % (b"POST", b"a2", b"") + b"\x00")
    client.protocol.shutdown()  # what a stopping proxy does to idle connections
    assert not client.run(LINGER_S - 0.05).closing
    assert client.run(LINGER_S + 0.05).closing
    assert client.ids == [b"a1"] and scenario.runs == {b"a1": 1}
