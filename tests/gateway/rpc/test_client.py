"""rpc/client.py: calls whose response is truncated or belongs to another call, and cancelled calls."""

import asyncio
import json
from collections import Counter

from scripted_transport import STEP, ScriptedLoop
from ward import each, test

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.rpc.client import Caller

RESPONSE = b'HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n{"n":%d}'


class CallerScenario:
    """A caller, and a peer that answers each call with its number; `script` answers call number `at` once."""

    def __init__(self, script=None, at=2):
        self.loop, self.script, self.at, self.received = ScriptedLoop(self.serve), script, at, Counter()
        asyncio.set_event_loop(self.loop)
        self.caller = Caller()

    def serve(self, transport, request):
        n = json.loads(request.rpartition(b"\r\n\r\n")[2])["n"]
        self.received[n] += 1
        id = b"X-Call-Id: %s\r\n" % request.lower().partition(b"x-call-id: ")[2].partition(b"\r\n")[0]
        script = self.script if n == self.at and self.received[n] == 1 else None
        response = RESPONSE % (id, 6 + len(str(n)), n)
        if script is not None:
            self.loop.call_later(STEP, script, transport, response, id)
        else:
            self.loop.call_later(STEP, transport.say, response)

    async def call(self, n, idempotent):
        return await self.caller.call("b", 7000, "/p", {"n": n}, 0.5, idempotent)

    def play(self, idempotent, cancel_after_s=None):
        """Make three calls, cancel the second after `cancel_after_s`; return the faults and the results."""
        results = {}

        async def work():
            for n in (1, 2, 3):
                task = self.loop.create_task(self.call(n, idempotent))
                if n == 2 and cancel_after_s is not None:
                    await asyncio.sleep(cancel_after_s)
                    task.cancel()
                results[n] = (await asyncio.gather(task, return_exceptions=True))[0]
                await asyncio.sleep(0.0)
            await asyncio.sleep(1.0)

        self.loop.run_until_complete(work())
        self.loop.close()
        kept = sum(connection.reusable for connection in self.caller.idle)
        faults = [n for n, reply in results.items() if isinstance(reply, dict) and reply != {"n": n}]
        faults += [] if isinstance(results[3], dict) else ["the third call failed"]
        faults += [] if idempotent else [f"{n} twice" for n, count in self.received.items() if count > 1]
        open_now = sum(not transport.closing for transport in self.loop.transports)
        return faults + ([] if open_now == kept else [f"{open_now} connections, {kept} kept"]), results


@test("a call (idempotent: {idempotent}) whose response is truncated at any byte gets its own one or fails")
def _(idempotent=each(True, False)):
    response = RESPONSE % (b"X-Call-Id: 0123456789ab-2\r\n", 7, 2)
    for n in range(len(response)):
        for ending in ("eof", "reset", None):

            def script(transport, response, id, n=n, ending=ending):
                transport.say(response[:n])
                ending and transport.loop.call_later(STEP, getattr(transport, ending))

            scenario = CallerScenario(script)
            faults, results = scenario.play(idempotent)
            answered = isinstance(results[2], dict)
            assert not faults and answered == (idempotent and ending is not None), (n, ending, faults)
            assert scenario.received[2] == 1 + (idempotent and ending is not None)


@test("a response with {what} fails the call and closes the connection")
def _(what=each("no id", "another call's id", "an earlier call's response before it")):
    ids = {"no id": b"", "another call's id": b"X-Call-Id: 1-1\r\n"}

    def script(transport, response, id):
        early = RESPONSE % (ids.get(what, b"X-Call-Id: 0-1\r\n"), 7, 1)
        transport.say(early + response)

    scenario = CallerScenario(script)
    faults, results = scenario.play(True)
    assert not faults and isinstance(results[2], GatewayError)
    assert scenario.received[2] == 1 and len(scenario.loop.transports) == 2


@test("a call cancelled at any moment leaves no connection on which another call could get its response")
def _():
    for quarter_steps in range(0, 16):
        for delay_steps in range(0, 4):

            def script(transport, response, id, delay_steps=delay_steps):
                transport.say(response[: delay_steps * 10])
                transport.loop.call_later(delay_steps * STEP, transport.say, response[delay_steps * 10 :])

            faults, _ = CallerScenario(script).play(False, cancel_after_s=quarter_steps * STEP / 4)
            assert not faults, (quarter_steps, delay_steps, faults)
