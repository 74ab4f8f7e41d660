"""Operators' calls: each answer rests on a majority at the time of the call, and an order has one outcome."""

import json

from timeline import World, config
from ward import each, test

from honeywood.gateway.configuration.packing import unpack
from honeywood.gateway.configuration.record import content_digest
from honeywood.gateway.controller.register_access import RegisterAccess
from honeywood.gateway.controller.rollout_orders import RolloutOrder
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.messages import PollResponse
from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.record import RolloutState
from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
from honeywood.gateway.rpc.request_context import CONTEXT, RequestContext
from honeywood.lab.emulator.boot import BOUNDS

CONTENTS = {"x": 1, "y": 2, "z": 3}  # contents under one number, by their routes


class OperatorWorld(World):
    """Words for operators: `send 7x` a configuration, `order v2 14`, `read` it, `state` of the rollout; `says
    WORD STATUS` looks at the answer to the last call of that word at the column's controller (0: none)."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.answers = {}

    def execute(self, name, cell):
        word, *more = cell.split()
        if word == "send":
            body = config(int(more[0][:-1]), CONTENTS[more[0][-1]])
            self.call(name, more[0], "config.replace", body=body)
        elif word == "order":
            body = {"svc": "s", "to_ver": more[0], "over_s": float(more[1])}
            self.call(name, more[0], "rollouts.start", body=body)
        elif word == "read":
            self.call(name, "read", "config.read")
        elif word == "state":
            self.call(name, "state", "rollouts.read", "s")
        elif word == "deaf":  # nothing reaches the controller, what it says does
            self.partitions |= {(other, name) for other in self.controllers if other != name}
        elif word == "says":
            status, told = self.answers.get((name, more[0]), (None, None))
            found = " ".join([str(status), *self.shown(told)][: len(more) - 1])
            assert found == " ".join(more[1:]), f"{name} says {found} to {more[0]} at {self.loop.time():.2f}"
        else:
            super().execute(name, cell)

    def shown(self, told):
        """The words of an answer that are looked at."""
        told = json.loads(told) if isinstance(told, bytes) else told
        shown = told if isinstance(told, dict) else {}
        return [str(shown[key]) for key in ("outcome", "state", "ver", "to_ver") if key in shown]

    def call(self, name, word, *given, **more):
        async def asked():
            self.answers[name, word] = await self.ask(name, *given, **more)

        self.answers[name, word] = 0, None
        self.loop.create_task(asked())


def played(chart, **more):
    world = OperatorWorld(**more)
    try:
        return world.play(chart)
    finally:
        world.close()


CUT_OFF = """
  at   | a              | b     | c
  0    | start          | start | start
  1    | send 5x        |       |
  1.5  | order v2 14    |       |
  2    | says v2 200, cut bc |  |
  2.1  | {call}         |       |
  3.2  | says {word} 503|       |
  20   | {call}         |       |
  21   | says {word} 503|       |
  21.1 | join           |       |
  24   | {call}         |       |
  25   | says {word} {joined} | |
"""


@test("cut off, a controller answers {call} by 503 from the first moment on, and {joined} when joined")
def _(
    call=each("state", "read", "send 5x", "send 4x", "send 5y", "order v2 14", "order v3 9"),
    word=each("state", "read", "5x", "4x", "5y", "v2", "v3"),
    joined=each(200, 200, 200, 200, 412, 200, 200),
):
    # `rollouts.read` and orders with a number not above the held one were answered 200 from its own store,
    # twenty seconds after the cut, whatever the others had come to hold.
    played(CUT_OFF.format(call=call, word=word, joined=joined))


@test("cut off in one direction alone, {way}, a controller answers by 503; the others go on")
def _(way=each("deaf", "mute bc")):
    played(
        """
      at   | a              | b       | c
      0    | start          | start   | start
      1    | send 5x        |         |
      1.5  | order v2 14    |         |
      2    | WAY            |         |
      2.1  | send 5x, state, order v3 14 | send 6x | state
      4    | send 4x, read  |         |
      5.5  | says 5x 503, says state 503, says v3 503 | says 6x 200 | says state 200 active v2
      5.6  | says 4x 503, says read 503 |  |
    """.replace("WAY", way)
    )


@test("a service brought in by a version that this controller has not heard of is known all the same")
def _():
    # 400 ends an operator's call for good; it was told from this controller's store alone.
    world = OperatorWorld()
    try:
        world.play("""
          at   | a       | b     | c
          0    | start   | start | start
          1    | send 5x |       |
        """)
        world.run(1.5)
        world.partition("a", "bc")
        body = config(6)
        body["res"].append({**body["res"][-1], "hdr": {"name": "t"}})
        world.call("b", "6", "config.replace", body=body)
        world.run(2.5)
        world.heal()
        order = {"svc": "t", "to_ver": "v2", "over_s": 9.0}
        world.call("a", "known", "rollouts.start", body=order)
        world.call("a", "unknown", "rollouts.start", body={**order, "svc": "nobody"})
        assert world.version("a") == 5  # it has not heard yet
        world.run(3.5)
        assert world.answers["b", "6"][0] == world.answers["a", "known"][0] == 200
        assert world.answers["a", "unknown"][0] == 400
    finally:
        world.close()


@test("restarted while cut off, a controller refuses nothing for good and confirms nothing")
def _():
    world = OperatorWorld()
    try:
        world.play("""
          at  | a       | b     | c
          0   | start   | start | start
          1   | send 5x |       |
          2   | cut bc, kill | send 6x |
        """)
        world.fresh = False
        world.play("""
          at  | a                                        | b
          3   | start                                    | says 6x 200
          3.1 | send 5x, read, state, order v2 9         |
          4.5 | says 5x 503, says read 503, says state 503, says v2 503 |
          5   | join                                     |
          8   | read, send 5x, state                     |
          9   | says read 200 00000006, says 5x 200 overtaken, says state 404 |
        """)
    finally:
        world.close()


@test("two contents under one number: the one that holds is confirmed, the other refused at every controller")
def _():
    # A's change ended in doubt, B's won, A's operator sent again and was confirmed by B's.
    played("""
      at   | a             | b             | c
      0    | start         | start         | start
      1    | send 5x       |               |
      2    | cut bc, send 7x |             |
      2.1  |               | send 7y       |
      3.5  | says 7x 503   | says 7y 200 taken |
      3.6  | send 7x       | send 7x       | send 7x
      4.5  | says 7x 503   | says 7x 412   | says 7x 412
      5    | join          | send 9z       |
      7    | send 7x       | send 7y       | read
      8    | says 7x 412   | says 7y 200 overtaken | says read 200 00000009
    """)


@test("cut between prepare and accept, {share} of it done: no clear answer, and one content in the end")
def _(share=each(0.3, 1.3, 2.3, 3.3)):
    # The delay is 50 to 100 ms a way, so that the cut falls into the round after `share` of its ways.
    world = OperatorWorld()
    try:
        world.play("""
          at   | a       | b     | c
          0    | start   | start | start
          1    | send 5x |       |
        """)
        world.run(3.0)
        world.latency_s = 0.05
        world.execute("a", "send 7x")
        world.run(3.0 + 0.075 * share)
        world.partition("a", "bc")
        world.execute("b", "send 7y")
        world.run(5.0)
        world.latency_s = 0.001
        world.execute("c", "send 7x")
        world.execute("b", "send 7y")
        world.run(6.0)
        first = world.answers["a", "7x"][0]
        told = world.answers["c", "7x"][0], world.answers["b", "7y"][0]
        assert told in ((200, 412), (412, 200)) and first in (0, 503, told[0]) and first != 412, (first, told)
        world.heal()
        world.run(9.0)
        world.execute("a", "send 7x")
        world.run(10.0)
        assert world.answers["a", "7x"][0] == told[0]
    finally:
        world.close()


@test("one order eight at once at all controllers, answers lost: acknowledged or no clear answer, never 4xx")
def _(order=each("send 7x", "order v2 14"), word=each("7x", "v2")):
    for seed in range(6):
        world = OperatorWorld(seed=seed)
        try:
            world.play("""
              at   | a       | b     | c
              0    | start   | start | start
              1    | send 5x |       |
            """)
            world.run(2.0)
            world.loss_share, statuses = 0.1, []
            for _turn in range(3):
                for name in "abcabcab":
                    world.execute(name, order)
                world.run(world.loop.time() + 1.2)
                statuses += [world.answers[name, word][0] for name in "abc"]
            world.loss_share = 0.0
            world.run(world.loop.time() + 2.0)
            world.execute("b", order)
            world.run(world.loop.time() + 1.0)
            assert set(statuses) <= {0, 200, 503} and world.answers["b", word][0] == 200, statuses
            if word == "v2":  # never twice in force: one start, and no stage since
                assert world.nodes["a"].store.get("rollout/s")["n"] == 1
        finally:
            world.close()


@test("an order that lay unread while its controller stood still begins nothing; the next one is taken")
def _():
    # Its operator had gone on: what a thawed controller finds in its sockets may be twenty seconds old.
    world = OperatorWorld()
    try:
        world.play("""
          at  | a       | b     | c
          0   | start   | start | start
          1   | send 5x |       |
        """)
        world.run(2.0)
        world.execute("a", "order v2 14")
        world.loop.now += 20.0  # all stand still, with the order in a's socket
        world.run(22.5)
        assert world.answers["a", "v2"][0] == 503 and not world.nodes["b"].store.get("rollout/s")
        world.run(24.0)
        world.execute("a", "order v2 14")
        world.run(25.0)
        assert world.answers["a", "v2"][0] == 200
    finally:
        world.close()


class OperatorCall:
    """A call of an operator at a controller's door; its caller leaves after `stays_s` seconds."""

    def __init__(self, world, name, to_ver, over_s, stays_s):
        self.body = json.dumps({"svc": "s", "to_ver": to_ver, "over_s": over_s}).encode()
        self.world, self.leaves_at, self.status = world, world.loop.time() + stays_s, None
        scope = {"client": ("op", 1), "server": ("a", 82), "method": "POST", "path": "/v1/rpc"}
        # What the server hands over, by its own type: a key that only tests knew let every order of the real
        # controllers end in 500.
        context = RequestContext(b"/v1/rpc?call=rollouts.start", ClientDisconnect(self.left))
        scope |= {"query_string": b"call=rollouts.start", CONTEXT: context}
        world.loop.create_task(world.nodes[name].app(scope, self.receive, self.send))

    def left(self):
        return self.world.loop.time() >= self.leaves_at

    async def receive(self):
        return {"type": "http.request", "body": self.body, "more_body": False}

    async def send(self, message):
        self.status = message.get("status", self.status)


def was_reverted(world, name, to_ver):
    """Sends the rollout that is under way back."""
    key, held = "rollout/s", world.nodes[name].store.get("rollout/s")

    def step(value):
        return transitions.update_stored(
            value, lambda now: transitions.advance(now, to_ver, held["n"], state=RolloutState.REVERTED)
        )

    world.loop.create_task(world.nodes[name].register.change(key, step))


@test("a copy of an order that comes {late_s} s late, its caller gone {when}, begins nothing")
def _(
    late_s=each(1.0, 9.0, 9.0, 30.0),
    stays_s=each(0.0, 0.0, 0.1, 0.0),
    when=each("before", "before", "right after it", "before"),
):
    # Held up in a cut for longer than `ack_s` + 1 s, a copy began a version anew that had been sent back.
    world = OperatorWorld()
    try:
        world.play("""
          at   | a           | b     | c
          0    | start       | start | start
          1    | send 5x     |       |
          2    | order v2 14 |       |
          3    | says v2 200 active v2 |  |
        """)
        was_reverted(world, "a", "v2")
        world.run(3.0 + late_s)
        copies = [OperatorCall(world, name, "v2", 14.0, stays_s) for name in "ab"]
        world.run(world.loop.time() + 2.0)
        held = world.nodes["c"].store.get("rollout/s")
        assert [copy.status for copy in copies] == [503, 503] and held["n"] == 2, held
        again = OperatorCall(world, "b", "v2", 14.0, 1.0)
        world.run(world.loop.time() + 2.0)
        begun = late_s > world.bounds["ack_s"] + 1.0
        held = world.nodes["c"].store.get("rollout/s")
        assert again.status == 200 and (held["n"], held["state"] == RolloutState.ACTIVE) == (2 + begun, begun)
    finally:
        world.close()


def send_heartbeat(world, name, id, ver):
    """A machine of a version beats at one controller."""
    body = {"svc": "s", "addr": "10.0.0.1:1", "zone": "z", "ver": ver, "slots": 4}
    world.call(name, id, "instances.heartbeat", id, {**body, "state": "ready", "cold_left_s": 0, "seq": 1})


@test("an order for the version that alone is in service is done at once; another version's is a trial")
def _():
    # It went on trial: the service's only machines were then given a tenth of its requests, the rest had
    # nowhere to go.
    world = OperatorWorld(proxies="f")
    try:
        world.play("""
          at   | a           | b     | c     | f
          0    | start       | start | start | start
          1    | send 5x     |       |       |
        """)
        send_heartbeat(world, "a", "m", "v1")
        world.run(2.0)
        world.play("""
          at   | a           | b
          2    | order v1 14 |
          2.8  | says v1 200 done v1 | order v1 14
          3.5  |             | says v1 200 done v1, order v2 14
          4.5  |             | says v2 200 active v2
        """)
        stage = world.nodes["f"].stage
        assert [stage.version_status("s", ver) for ver in ("v1", "v2")] == ["established", "trial"]
    finally:
        world.close()


@test("alone in service is what a majority says now: with {what} the order is answered {status} {state}")
def _(
    what=each("a version known to others alone", "too few others to ask", "no machines"),
    status=each(200, 503, 200),
    state=each("active", "", "active"),
):
    # An operator stops all other machines at `done`: one controller's old view must not say so.
    world = OperatorWorld()
    try:
        world.play("""
          at   | a           | b     | c
          0    | start       | start | start
          1    | send 5x     |       |
        """)
        if what != "no machines":
            send_heartbeat(world, "a", "m", "v1")
        world.run(3.0)
        world.partition("a", "bc")
        if what == "a version known to others alone":
            send_heartbeat(world, "b", "n", "v2")
            world.run(5.0)
        if what != "too few others to ask":
            world.heal()
        known = {value["ver"] for _, value in world.nodes["a"].store.items_of(RecordKind.MACHINE)}
        assert known == (set() if what == "no machines" else {"v1"})
        world.execute("a", "order v1 14")
        world.run(world.loop.time() + 1.0)
        told = world.answers["a", "v1"]
        assert told[0] == status and (status != 200 or told[1]["state"] == state), told
    finally:
        world.close()


@test("an order whose rounds take longer than its operator waits begins nothing")
def _():
    for seed in range(4):
        world = OperatorWorld(seed=seed)
        try:
            world.play("""
              at  | a       | b     | c
              0   | start   | start | start
              1   | send 5x |       |
            """)
            world.run(2.0)
            world.latency_s = 0.25  # 0.25 to 0.5 s a way: read and prepare take a second or more
            world.loop.create_task(world.nodes["a"].rollout_orders.start(RolloutOrder("s", "v2", 14.0), "op"))
            world.run(5.0)
            world.latency_s = 0.001
            world.run(8.0)
            assert not world.nodes["b"].store.get("rollout/s")
        finally:
            world.close()


@test("frozen for 20 s with calls in its sockets, a controller begins nothing and tells nothing old")
def _():
    played("""
      at   | a                          | b            | c
      0    | start                      | start        | start
      1    | send 5x                    |              |
      2    | freeze                     |              |
      2.1  | state, read, order v2 14, send 5x |       |
      3    |                            | send 6x, order v3 14 |
      4.5  | says state 0, says read 0, says v2 0, says 5x 0 | says 6x 200, says v3 200 active v3 |
      22   | thaw                       |              |
      22.1 | order v2 14, read, state   |              |
      23.2 | says v2 503, says read 200 00000006, says state 200 active v3 | state |
      24   | order v4 9                 | says state 200 active v3 |
      25   | says v4 200 active v4      | state        |
      25.5 |                            | says state 200 active v4 |
    """)


@test("thirty times as slow, a controller answers by what holds now, by 503, or not in time")
def _():
    world, told = OperatorWorld(), []
    try:
        world.play("""
          at   | a                      | b     | c
          0    | start                  | start | start
          1    | send 5x                |       |
          2    | slow                   |       |
        """)
        for turn in range(8):
            world.execute("b", f"send {6 + turn}x")
            world.execute("b", f"order v{2 + turn} 14")
            world.run(3.5 + 3 * turn)
            assert world.answers["b", f"{6 + turn}x"][0] == 200 == world.answers["b", f"v{2 + turn}"][0]
            world.execute("a", "read")
            world.execute("a", "state")
            world.run(5.0 + 3 * turn)
            for word, newest in (("read", f"{6 + turn:08x}"), ("state", f"v{2 + turn}")):
                status, found = world.answers["a", word]
                told.append(status)
                assert status in (0, 503) or status == 200 and newest in str(found), (turn, status, found)
        assert 200 in told  # it is slow, not cut off
    finally:
        world.close()


@test("an answer left unread shows no contact: thawed, neither controller nor front takes itself for joined")
def _():
    # What was asked before a freeze of twenty seconds was answered then; read now, it made a lease of 1.6 s.
    world = OperatorWorld(proxies="f")
    try:
        for name in "abcf":
            world.start(name)
        world.run(2.0)
        controller, front = world.nodes["a"], world.nodes["f"]
        for task in front.periodic_tasks.tasks:
            task.cancel()

        async def old(ip, port, hold):
            world.loop.now += 20.0  # all stand still while the answer lies there
            return PollResponse("", 0, in_quorum=True)

        controller.peers.subscriber.poll = front.poller.subscriber.poll = old
        world.loop.run_until_complete(controller.peers.poll("b"))
        assert not controller.in_quorum
        now = world.loop.now
        world.loop.run_until_complete(front.poller.poll_once())
        assert front.stage.controller_contact_at == now
    finally:
        world.close()


@test("a front started beside a cut-off controller serves its configuration and is ready after contact_s")
def _():
    # It took the old configuration of a controller cut off from the others and called itself ready by it.
    world = OperatorWorld(proxies="fg", bounds={**BOUNDS, "contact_s": 3.0})
    try:
        for name in "abcf":
            world.start(name)
        world.run(1.0)
        world.execute("a", "send 5x")
        world.run(2.0)
        world.execute("a", "beat m ready")
        world.run(3.0)
        assert world.nodes["f"].ready  # with a majority: as soon as it has heard
        world.partition("a", "bc")
        world.partition("g", "bc")
        world.execute("b", "send 6x")
        world.run(6.0)
        world.start("g")
        world.run(7.0)
        assert world.version("g") == 5 and not world.nodes["g"].ready
        world.run(10.0)
        assert world.nodes["g"].ready
        world.heal()
        world.run(12.0)
        assert world.version("g") == 6 and world.nodes["g"].readiness.met_quorum
    finally:
        world.close()


async def read_local_store(self, operation, key, peer):
    """The mutation: reads from this controller's own store."""
    value = self.publication.store.get(key)
    if key != "config" or value is None:
        return value
    mark = content_digest(unpack(value))
    return {"ver": self.publication.store.stamp(key)[0], "text": value, "digest": mark, "past": []}


@test("without the read of a majority {call} is answered from what a cut-off controller last heard")
def _(call=each("state", "read", "send 5x"), word=each("state", "read", "5x")):
    guarded, RegisterAccess.read = RegisterAccess.read, read_local_store
    try:
        played(CUT_OFF.format(call=call, word=word, joined=200))
    except AssertionError as wrong:
        assert f"says 200 to {word}" in str(wrong)
    else:
        raise AssertionError("nothing seen")
    finally:
        RegisterAccess.read = guarded
