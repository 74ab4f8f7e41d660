"""rpc/server.py: a closing server waits for responses that are being sent."""

from call_scenario import REQUEST, CallScenario, ScriptedClient
from ward import test


@test("a server closed while a response is being sent waits until it has been sent, and no longer")
def _():
    # A response of up to 256 KB is handed to the transport at once. Its unsent end was lost when the process
    # ended without waiting.
    scenario = CallScenario()
    client = ScriptedClient(scenario)
    server, unsent = client.server, [b"tail"]
    # like asyncio, closes once all bytes have been sent
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
