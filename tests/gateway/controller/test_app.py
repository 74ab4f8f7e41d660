"""Invalid calls to running controllers are refused and change nothing."""

from timeline import World, config
from ward import test

from honeywood.gateway.dissemination.keys import RecordKind


def with_unknown_service():
    """Return a configuration with a route to a service that it doesn't contain."""
    body = config(7)
    body["res"][0]["spec"]["svc"] = "nowhere"
    return body


@test("an invalid call of an operator or machine is refused and changes nothing")
def _():
    world = World()
    try:
        for name in "abc":
            world.start(name)
        world.run(1.0)
        calls = [
            ("config.replace", "", with_unknown_service()),
            ("config.replace", "", b"{"),
            ("rollouts.start", "", {"svc": "s", "to_ver": 2, "over_s": 9}),
            ("rollouts.start", "", {"svc": "s", "to_ver": "v2", "over_s": -1}),
            ("rollouts.read", "nowhere", {}),
            ("instances.heartbeat", "i-1", {"svc": "s", "addr": "10.0.0.1", "state": "ready", "seq": 1}),
            ("instances.heartbeat", "i-1", {"svc": "s", "addr": "a.example:1", "state": "ready", "seq": 1}),
            ("instances.leave", "", {}),
            ("instances.heartbeat", "", {"svc": "s", "addr": "10.0.0.1:1", "state": "ready", "seq": 1}),
            ("instances.heartbeat", "i-1", {"svc": "s", "addr": "10.0.0.1:1", "state": "asleep", "seq": 1}),
            ("instances.heartbeat", "i-1", {"svc": "s", "addr": "10.0.0.1:1", "state": "ready", "seq": -1}),
        ]
        tasks = [world.loop.create_task(world.ask("a", call, of, body)) for call, of, body in calls]
        world.run(2.5)
        answers = [task.result() for task in tasks]
        assert all(400 <= status < 500 for status, _ in answers), f"{answers}"
        assert all(error.operation and error.reason for _, error in answers), f"{answers}"
        assert world.version("b") is None and not world.nodes["b"].store.items_of(RecordKind.MACHINE)
    finally:
        world.close()
