"""Found in review: a read that took copies for votes, two joined sides of a cut, a ballot that waited."""

import asyncio

from timeline import World
from ward import test

from honeywood.gateway.register import acceptor
from honeywood.gateway.register.agreement import find_agreed_view
from honeywood.gateway.register.proposal import Proposal
from honeywood.gateway.register.replies import Accepted, Promise, RowView
from honeywood.gateway.register.row import Ballot, Row
from honeywood.gateway.register.values import carried_form


@test("a rebuilt disk's copy is no vote: what a read tells is never lost to a ballot promised before")
def _():
    # 5x reached a alone; a ballot without a was promised by b and c; c was lost, rebuilt from a and b. A read
    # of a and c took c's copy for an accepted row and told 5x; b and c accepted 5y under the old promise.
    rows, lower, higher = {}, Ballot(1, "p"), Ballot(2, "q")

    def prepare(disk, ballot):
        rows[disk] = acceptor.prepare(rows.get(disk), ballot)
        return Promise(rows[disk].accepted, carried_form(rows[disk].value))

    def accept(disk, ballot, value):
        rows[disk] = acceptor.accept(rows[disk], ballot, value)
        return Accepted()

    def view(disk):
        row = rows[disk]
        return RowView(row.accepted, carried_form(row.value), acceptor.counts_as_accepted(row))

    first, second = Proposal(lower, 2), Proposal(higher, 2)
    assert [first.on_prepare_reply(disk, prepare(disk, lower)) for disk in "ab"] == [False, True]
    accept("a", lower, "5x")
    assert [second.on_prepare_reply(disk, prepare(disk, higher)) for disk in "bc"] == [False, True]
    rows["c"] = Row(*acceptor.merge_rows([{"key": rows["a"]}, {"key": rows["b"]}])["key"])
    assert find_agreed_view([view("a"), view("c")], 2) is None
    assert [second.on_accept_reply(disk, accept(disk, higher, "5y")) for disk in "bc"][1]
    assert find_agreed_view([view("b"), view("c")], 2).value == carried_form("5y")


@test("of two sides of a cut one at most is in quorum, however many controllers there are besides members")
def _():
    # Any one other controller was enough: each side took the machines that beat at the other one for lost.
    world = World("abcd", fronts="f")

    async def beats():
        for seq in range(9):
            for name in "bc":
                body = {"svc": "s", "addr": f"10.0.0.{ord(name)}:1", "state": "ready", "seq": seq}
                world.loop.create_task(world.ask(name, "instances.heartbeat", f"m{name}", body))
            await asyncio.sleep(1.5)

    try:
        for name in "abcdf":
            world.start(name)
        world.run(2.0)
        world.loop.create_task(beats())
        world.run(4.0)
        for name in "ad":
            world.cut(name, "bc")
        world.run(12.0)
        assert [world.nodes[name].in_quorum for name in "abcd"] == [False, True, True, False]
        assert [world.state("f", f"m{name}") for name in "bc"] == ["ready", "ready"]
    finally:
        world.close()


@test("a ballot that one disk refused doesn't wait for one that is silent")
def _():
    # It waited 0.8 s for the silent one, and its caller was sent away with 503 though a majority stood.
    world, took = World("abc"), []

    async def change():
        register, began = world.nodes["b"].register, world.loop.time()
        register.rounds.count = 0
        register.storage.registers.pop("config", None)  # its first ballot is below what c has promised
        found = await register.change("config", lambda held: {**held, "past": []})
        took.append((found.ok, world.loop.time() - began))

    try:
        for name in "abc":
            world.start(name)
        world.run(2.0)
        world.loop.create_task(world.ask("c", "config.replace", body=CONFIG))
        world.run(3.0)
        world.cut("a", "bc")
        world.loop.create_task(change())
        world.run(6.0)
        assert took and took[0][0] and took[0][1] < 0.5, took
    finally:
        world.close()


CONFIG = b'{"ver":"00000003","res":[{"type":"svcs","hdr":{"name":"s"},"spec":{"max_conns":3}}]}'
