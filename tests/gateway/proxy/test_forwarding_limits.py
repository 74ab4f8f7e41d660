"""Limits of a request: its deadline, its client's disconnect, its attempts, and failing connections."""

import asyncio
import json
from collections import Counter

from call_scenario import FULL, HEAD, REQUEST, TIMEOUT_S, CallScenario, ScriptedClient, good
from scripted_transport import STEP, ScriptedLoop
from timeline import config, machine
from ward import each, test


@test("a client that disconnects at any byte: an incomplete request never runs, and none runs twice")
def _():
    whole = b"".join(REQUEST % (b"POST", id, b"") for id in (b"a1", b"a2"))
    for n in range(0, len(whole) + 1, 3):
        for kind in ("safe", "unsafe"):

            def reject(transport, id):
                transport.loop.call_later(4 * STEP, transport.say, FULL % id)

            scenario = CallScenario(kind, reject, scripts_all=True)
            client = ScriptedClient(scenario)
            scenario.loop.call_soon(client.say, whole[:n])
            scenario.loop.call_later(3 * STEP, client.close)
            client.run(3.0)
            assert scenario.runs == Counter({b"a1": 1} if n >= len(whole) // 2 else {})
            assert not scenario.find_violations()


@test("a pipelined request with a body takes no longer than its route's timeout_s")
def _():
    # The time-out of the second request began only when the first one had been answered, so that the second
    # took twice timeout_s.
    scenario = CallScenario(script=lambda transport, id: None, scripts_all=True)
    client = ScriptedClient(scenario)
    request = b"POST /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nContent-Length: 2\r\n\r\nok"
    client.say(request % b"a1" + request % b"a2")
    assert client.run(TIMEOUT_S + 0.2).out.count(b"HTTP/1.1 ") == 2
    assert b"a2" not in scenario.runs


@test("a long response that arrives slowly is ended within 0.25 s after its route's timeout_s")
def _():
    def trickle(transport, id):
        transport.say(HEAD.replace(b"Length: 2", b"Length: 900000") % (b"200 OK", id, b"x" * 300_000))
        for n in range(20):
            transport.loop.call_later(n / 10, transport.say, b"x" * 100)

    client = ScriptedClient(CallScenario(script=trickle, scripts_all=True))
    client.say(REQUEST % (b"GET", b"a1", b""))
    assert not client.run(TIMEOUT_S - 0.1).closing and len(client.out) > 300_000
    assert client.run(TIMEOUT_S + 0.25).closing and len(client.out) < 900_000


@test("a failure is relayed with its machine's status and seal, or with neither: {status}, {kind}")
def _(
    status=each(*[b"%d" % s for s in (300, 404, 408, 421, 429, 500, 503, 504, 599, 600, 999)] * 2),
    kind=each(*["safe"] * 11, *["unsafe"] * 11),
):
    # A failure must not have the X-Seal of a machine and another status than that machine sent.
    def fail(transport, id):
        transport.say(HEAD % (status + b" No", id, b"no"))

    scenario = CallScenario(kind, fail, scripts_all=True)
    client = ScriptedClient(scenario)
    client.say(REQUEST % (b"POST", b"a1", b""))
    out = client.run(1.0).out
    assert out.startswith(b"HTTP/1.1 %s" % status) if b"x-seal" in out else out[9:12] in (b"502", b"503")


@test("of five machines that {behavior}, {kind} requests reach at most two, as the route's `tries` says")
def _(
    behavior=each(*["do not respond", "fail", "reject", "reset", "answer other requests"] * 2),
    kind=each(*["safe"] * 5, *["unsafe"] * 5),
):
    # At most three requests may reach, in one try of their client, more machines than their route's `tries`.
    reached = {}

    def play(transport, id):
        reached.setdefault(id, set()).add(transport)
        {
            "do not respond": lambda: None,
            "fail": lambda: transport.say(HEAD % (b"500 No", id, b"no")),
            "reject": lambda: transport.say(FULL % id),
            "reset": transport.reset,
            "answer other requests": lambda: transport.say(good(b"zz") * 3),
        }[behavior]()

    scenario = CallScenario(kind, play, scripts_all=True)
    for id in "opq":
        scenario.proxy.records.apply(f"machine/{id}", machine(id))
    scenario.play(b"a1", b"a2", b"a3")
    assert len(reached) == 3 and max(len(transports) for transports in reached.values()) <= 2


@test("machines that drop idle connections make one request of a service fail, not one per connection")
def _():
    # The machines announce that they keep idle connections, but reset the next request on a connection that
    # was idle for more than 0.3 s.
    scenario = CallScenario("unsafe")

    def reset_after_idle(transport, id):
        now, idle_s = (
            transport.loop.time(),
            transport.loop.time() - getattr(transport, "last_request_at", transport.loop.time()),
        )
        transport.last_request_at = now
        scenario.runs[id] -= idle_s > 0.3
        transport.reset() if idle_s > 0.3 else transport.say(good(id))

    scenario.script, scenario.scripts_all = reset_after_idle, True
    ids = [b"a%d" % n for n in range(10)]
    assert not scenario.play(*ids, pause_s=0.5)
    assert [scenario.responses[id][0] for id in ids].count(200) == 9


@test(
    "unreachable {how} machines, a target of {target_s} s: a {kind} request tries {tried}, is rejected {when}"
)
def _(
    how=each(*["refusing"] * 2, *["silent"] * 4),
    kind=each(*["safe", "unsafe"] * 3),
    target_s=each(0.25, 0.25, 0.25, 0.25, 1.9, 1.9),
    tried=each(2, 2, 1, 1, 2, 2),
    when=each(*["at once"] * 2, *["within a quarter of its target"] * 4),
):
    # While a service's machines were down, the proxy tried hundreds of connections for one request without a
    # pause between them. Then it answered 504, which doesn't promise that the request has not run, although
    # nothing had been sent. Rejections that take more than a quarter of the latency target have a cost.
    scenario, attempted_ips = CallScenario(kind), []

    async def fail(factory, ip, port):
        attempted_ips.append(ip)
        await asyncio.sleep(STEP if how == "refusing" else 60)
        raise ConnectionRefusedError("refused")

    scenario.loop.create_connection = fail
    sent = config(6, kind=kind)
    sent["res"][0]["spec"] |= {"target_s": target_s, "timeout_s": 2 * target_s}
    scenario.proxy.records.apply("config", json.dumps(sent))
    assert not scenario.play(b"a1") and len(set(attempted_ips)) == len(attempted_ips) == tried
    status, _, elapsed_s = scenario.responses[b"a1"]
    assert status == 503 and elapsed_s < (0.01 if when == "at once" else target_s / 4 + 0.001)


@test("a request for which no connection is established by the deadline is rejected and never sent later")
def _():
    scenario, create_connection = CallScenario("unsafe"), ScriptedLoop.create_connection

    async def connect_late(factory, ip, port):
        await asyncio.sleep(0.2)
        return await create_connection(scenario.loop, factory, ip, port)

    scenario.loop.create_connection = connect_late
    sent = config(6, kind="unsafe")
    sent["res"][0]["spec"]["timeout_s"] = 0.15
    scenario.proxy.records.apply("config", json.dumps(sent))
    assert not scenario.play(b"a1") and scenario.responses[b"a1"][0] == 503 and not scenario.runs
