"""What proves that another controller is in contact, and which controllers are in quorum as a result."""

import asyncio

from timeline import World
from ward import test

from honeywood.gateway.controller.contacts import Contacts
from honeywood.gateway.register.replacement import DiskState


@test("a request proves contact at the time of the response whose stamp it echoes; a copy proves nothing")
def _():
    contacts = Contacts("a", "a1", 0.0, 1, lambda: ["a", "b", "c"])
    contacts.record_request("b", 1.0, None, 7, DiskState.WORKS)  # without a stamp it may be of any age
    assert contacts.peer_states(5.0)["b"].contact_at == 0.0 and not contacts.is_replicated(7)
    first, second = contacts.issue_stamp(2.0), contacts.issue_stamp(3.0)
    contacts.record_request("b", 3.1, second, 9, DiskState.WORKS)
    contacts.record_request("b", 8.0, first, 4, DiskState.WORKS)
    contacts.record_request("b", 8.0, second, 9, DiskState.WORKS)
    earlier_incarnation = ["a0", 7.0]
    contacts.record_request("b", 8.0, earlier_incarnation, 99, DiskState.WORKS)
    assert contacts.peer_states(5.0)["b"].contact_at == 3.0 and not contacts.is_replicated(10)
    assert contacts.observers(5.9) == {"a", "b"} and contacts.observers(6.1) == {"a"}


@test("at most one side of a network partition is in quorum, even if some controllers are not members")
def _():
    # Guards against counting any one other controller as a quorum: each side then marked machines as lost
    # that sent their heartbeats to the other side.
    world = World("abcd", proxies="f")

    async def send_heartbeats():
        for seq in range(9):
            for name in "bc":
                body = {"svc": "s", "addr": f"10.0.0.{ord(name)}:1", "state": "ready", "seq": seq}
                world.loop.create_task(world.ask(name, "instances.heartbeat", f"m{name}", body))
            await asyncio.sleep(1.5)

    try:
        for name in "abcdf":
            world.start(name)
        world.run(2.0)
        world.loop.create_task(send_heartbeats())
        world.run(4.0)
        for name in "ad":
            world.partition(name, "bc")
        world.run(12.0)
        assert [world.nodes[name].in_quorum for name in "abcd"] == [False, True, True, False]
        assert [world.state("f", f"m{name}") for name in "bc"] == ["ready", "ready"]
    finally:
        world.close()
