"""rpc/server.py: a server that closes waits for what is leaving."""

from call_scenario import REQUEST, CallScenario, ScriptedClient
from ward import test


@test("a server that closes while a response is leaving ends once that has left, and waits no longer")
def _():
    # A response of up to 256 KB is handed over at once; its tail was lost with the process that ended.
    scenario = CallScenario()
    client = ScriptedClient(scenario)
    server, unsent = client.server, [b"tail"]
    # asyncio closes once all has left
    client.close = lambda: None if unsent else ScriptedClient.abort(client)
    client.say(REQUEST % (b"GET", b"a1", b"Connection: close\r\n"))
    client.run(0.1)
    done = scenario.loop.create_task(server.close(5.0))
    client.run(1.0)
    assert client.ids == [b"a1"] and not done.done()
    unsent.clear()
    client.close()
    client.run(1.1)
    assert done.done()
