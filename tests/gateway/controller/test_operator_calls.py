"""Operators' calls: each answer is based on a majority at call time, and an order has one outcome."""

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

CONTENTS = {"x": 1, "y": 2, "z": 3}  # numbers of routes, by which contents with one version differ


class OperatorWorld(World):
    """A world whose charts have words for operators' calls and their answers.

    `send 7x` sends version 7 of the configuration with content x, `order v2 14` orders a rollout, `read`
    reads the configuration and `state` the rollout. `expect CALL STATUS ...` checks the answer to the latest
    call of that name at the column's controller; status 0 means that there is no answer yet. `drop-inbound`
    cuts the controller off in one direction.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
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
        elif word == "drop-inbound":  # the controller can send to the others but receives nothing
            self.partitions |= {(other, name) for other in self.controllers if other != name}
        elif word == "expect":
            status, answer = self.answers.get((name, more[0]), (None, None))
            found = " ".join([str(status), *self.answer_words(answer)][: len(more) - 1])
            assert found == " ".join(
                more[1:]
            ), f"{name} answered {found} to {more[0]} at {self.loop.time():.2f}"
        else:
            super().execute(name, cell)

    def answer_words(self, answer):
        """Return the values of an answer that `expect` compares."""
        answer = json.loads(answer) if isinstance(answer, bytes) else answer
        fields = answer if isinstance(answer, dict) else {}
        return [str(fields[key]) for key in ("outcome", "state", "ver", "to_ver") if key in fields]

    def call(self, name, label, *args, **kwargs):
        async def ask_and_store():
            self.answers[name, label] = await self.ask(name, *args, **kwargs)

        self.answers[name, label] = 0, None
        self.loop.create_task(ask_and_store())


def play_and_close(chart, **kwargs):
    world = OperatorWorld(**kwargs)
    try:
        return world.play(chart)
    finally:
        world.close()


CUT_OFF = """
  at   | a                      | b     | c
  0    | start                  | start | start
  1    | send 5x
  1.5  | order v2 14
  2    | expect v2 200, cut bc
  2.1  | {call}
  3.2  | expect {label} 503
  20   | {call}
  21   | expect {label} 503
  21.1 | join
  24   | {call}
  25   | expect {label} {joined}
"""


@test("a controller that is cut off answers {call} with 503 at once, and with {joined} after it has rejoined")
def _(
    call=each("state", "read", "send 5x", "send 4x", "send 5y", "order v2 14", "order v3 9"),
    label=each("state", "read", "5x", "4x", "5y", "v2", "v3"),
    joined=each(200, 200, 200, 200, 412, 200, 200),
):
    # Guards against outdated answers: 20 s after the cut, `rollouts.read` and orders with a version not above
    # the stored one were answered 200 from the local store, whatever the other controllers held by then.
    play_and_close(CUT_OFF.format(call=call, label=label, joined=joined))


@test("a controller that is cut off in one direction ({way}) answers with 503; the others keep working")
def _(way=each("drop-inbound", "mute bc")):
    play_and_close(
        """
      at  | a             | b             | c
      0   | start         | start         | start
      1   | send 5x
      1.5 | order v2 14
      2   | WAY
      2.1 | send 5x, state, order v3 14 | send 6x       | state
      4   | send 4x, read
      5.5 | expect 5x 503, expect state 503, expect v3 503 | expect 6x 200 | expect state 200 active v2
      5.6 | expect 4x 503, expect read 503
    """.replace("WAY", way)
    )


@test("a rollout order is accepted for a service that only a version unknown to this controller contains")
def _():
    # Guards against refusing an order by the local store alone: a 400 is final for the operator.
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
        assert world.version("a") == 5  # it has not received version 6 yet
        world.run(3.5)
        assert world.answers["b", "6"][0] == world.answers["a", "known"][0] == 200
        assert world.answers["a", "unknown"][0] == 400
    finally:
        world.close()


@test("a controller restarted while cut off neither refuses a call with a final status nor confirms one")
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
          at  | a                    | b
          3   | start                | expect 6x 200
          3.1 | send 5x, read, state, order v2 9
          4.5 | expect 5x 503, expect read 503, expect state 503, expect v2 503
          5   | join
          8   | read, send 5x, state
          9   | expect read 200 00000006, expect 5x 200 overtaken, expect state 404
        """)
    finally:
        world.close()


@test("of two contents with one version, the stored one is confirmed and every controller refuses the other")
def _():
    # Guards against confirming the wrong content: a's change ended without a clear outcome, b's was stored,
    # and when a's operator repeated the call, it was confirmed because b's content had that version.
    play_and_close("""
      at  | a               | b                   | c
      0   | start           | start               | start
      1   | send 5x
      2   | cut bc, send 7x
      2.1 |                 | send 7y
      3.5 | expect 7x 503   | expect 7y 200 taken
      3.6 | send 7x         | send 7x             | send 7x
      4.5 | expect 7x 503   | expect 7x 412       | expect 7x 412
      5   | join            | send 9z
      7   | send 7x         | send 7y             | read
      8   | expect 7x 412   | expect 7y 200 overtaken | expect read 200 00000009
    """)


@test("a cut after {share} messages of a change: no clear answer, and one content in the end")
def _(share=each(0.3, 1.3, 2.3, 3.3)):
    # A message takes 50 to 100 ms, so the cut comes after about `share` one-way messages of the change.
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
        last = world.answers["c", "7x"][0], world.answers["b", "7y"][0]
        assert last in ((200, 412), (412, 200)) and first in (0, 503, last[0]) and first != 412, (first, last)
        world.heal()
        world.run(9.0)
        world.execute("a", "send 7x")
        world.run(10.0)
        assert world.answers["a", "7x"][0] == last[0]
    finally:
        world.close()


@test("an order sent eight times at once while messages are lost gets 200, 503 or no answer, never 4xx")
def _(order=each("send 7x", "order v2 14"), label=each("7x", "v2")):
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
                statuses += [world.answers[name, label][0] for name in "abc"]
            world.loss_share = 0.0
            world.run(world.loop.time() + 2.0)
            world.execute("b", order)
            world.run(world.loop.time() + 1.0)
            assert set(statuses) <= {0, 200, 503} and world.answers["b", label][0] == 200, statuses
            if label == "v2":  # started only once, and no stage has followed
                assert world.nodes["a"].store.get("rollout/s")["n"] == 1
        finally:
            world.close()


@test("an order that waited unread while its controller was stalled starts no rollout; the next one does")
def _():
    # The operator has given up by then: messages in the sockets of a resumed controller may be 20 s old.
    world = OperatorWorld()
    try:
        world.play("""
          at  | a       | b     | c
          0   | start   | start | start
          1   | send 5x |       |
        """)
        world.run(2.0)
        world.execute("a", "order v2 14")
        world.loop.now += 20.0  # all programs are stalled while the order waits in a's socket
        world.run(22.5)
        assert world.answers["a", "v2"][0] == 503 and not world.nodes["b"].store.get("rollout/s")
        world.run(24.0)
        world.execute("a", "order v2 14")
        world.run(25.0)
        assert world.answers["a", "v2"][0] == 200
    finally:
        world.close()


class OperatorCall:
    """An operator's call at a controller's ASGI application; the caller disconnects after `connected_s`."""

    def __init__(self, world, name, to_ver, over_s, connected_s):
        self.body = json.dumps({"svc": "s", "to_ver": to_ver, "over_s": over_s}).encode()
        self.world, self.disconnects_at, self.status = world, world.loop.time() + connected_s, None
        scope = {"client": ("op", 1), "server": ("a", 82), "method": "POST", "path": "/v1/rpc"}
        # The context has the server's type. With a key that only tests used, the tests passed while real
        # controllers answered every order with 500.
        context = RequestContext(b"/v1/rpc?call=rollouts.start", ClientDisconnect(self.left))
        scope |= {"query_string": b"call=rollouts.start", CONTEXT: context}
        world.loop.create_task(world.nodes[name].app(scope, self.receive, self.send))

    def left(self):
        return self.world.loop.time() >= self.disconnects_at

    async def receive(self):
        return {"type": "http.request", "body": self.body, "more_body": False}

    async def send(self, message):
        self.status = message.get("status", self.status)


def revert_rollout(world, name, to_ver):
    """Revert the active rollout."""
    key, stored = "rollout/s", world.nodes[name].store.get("rollout/s")

    def update(value):
        return transitions.update_stored(
            value,
            lambda current: transitions.advance(current, to_ver, stored["n"], state=RolloutState.REVERTED),
        )

    world.loop.create_task(world.nodes[name].register.change(key, update))


@test("a copy of an order that arrives {late_s} s late and whose caller left {when} starts no rollout")
def _(
    late_s=each(1.0, 9.0, 9.0, 30.0),
    connected_s=each(0.0, 0.0, 0.1, 0.0),
    when=each("before", "before", "right after it", "before"),
):
    # Guards against restarting a reverted version by a copy that was delayed for longer than `ack_s` + 1 s.
    world = OperatorWorld()
    try:
        world.play("""
          at | a           | b     | c
          0  | start       | start | start
          1  | send 5x
          2  | order v2 14
          3  | expect v2 200 active v2
        """)
        revert_rollout(world, "a", "v2")
        world.run(3.0 + late_s)
        copies = [OperatorCall(world, name, "v2", 14.0, connected_s) for name in "ab"]
        world.run(world.loop.time() + 2.0)
        stored = world.nodes["c"].store.get("rollout/s")
        assert [copy.status for copy in copies] == [503, 503] and stored["n"] == 2, stored
        repeated = OperatorCall(world, "b", "v2", 14.0, 1.0)
        world.run(world.loop.time() + 2.0)
        restarted = late_s > world.bounds["ack_s"] + 1.0
        stored = world.nodes["c"].store.get("rollout/s")
        assert repeated.status == 200 and (stored["n"], stored["state"] == RolloutState.ACTIVE) == (
            2 + restarted,
            restarted,
        )
    finally:
        world.close()


def send_heartbeat(world, name, id, ver):
    """Send a heartbeat of a machine with version `ver` to one controller."""
    body = {"svc": "s", "addr": "10.0.0.1:1", "zone": "z", "ver": ver, "slots": 4}
    world.call(name, id, "instances.heartbeat", id, {**body, "state": "ready", "cold_left_s": 0, "seq": 1})


@test("an order for the only version in service is done at once; one for another version starts a trial")
def _():
    # Guards against a trial of the only version: the service's only machines then got a tenth of its
    # requests, and no machine was left for the rest.
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
          at  | a                     | b
          2   | order v1 14
          2.8 | expect v1 200 done v1 | order v1 14
          3.5 |                       | expect v1 200 done v1, order v2 14
          4.5 |                       | expect v2 200 active v2
        """)
        stage = world.nodes["f"].traffic_policy
        assert [stage.version_status("s", ver) for ver in ("v1", "v2")] == ["established", "trial"]
    finally:
        world.close()


@test("only a majority decides that no other version is in service: with {what}, answer {status} {state}")
def _(
    what=each("a version that only others know", "too few reachable controllers", "no machines"),
    status=each(200, 503, 200),
    state=each("active", "", "active"),
):
    # The operator stops all other machines after `done`, so one controller's outdated view must not decide
    # on it.
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
        if what == "a version that only others know":
            send_heartbeat(world, "b", "n", "v2")
            world.run(5.0)
        if what != "too few reachable controllers":
            world.heal()
        known = {value["ver"] for _, value in world.nodes["a"].store.items_of(RecordKind.MACHINE)}
        assert known == (set() if what == "no machines" else {"v1"})
        world.execute("a", "order v1 14")
        world.run(world.loop.time() + 1.0)
        answer = world.answers["a", "v1"]
        assert answer[0] == status and (status != 200 or answer[1]["state"] == state), answer
    finally:
        world.close()


@test("an order whose register rounds take longer than its operator waits starts no rollout")
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
            world.latency_s = 0.25  # 0.25 to 0.5 s per message: read and prepare take at least a second
            world.loop.create_task(world.nodes["a"].rollout_orders.start(RolloutOrder("s", "v2", 14.0), "op"))
            world.run(5.0)
            world.latency_s = 0.001
            world.run(8.0)
            assert not world.nodes["b"].store.get("rollout/s")
        finally:
            world.close()


@test("a controller frozen for 20 s with calls in its sockets starts no rollout and returns no old data")
def _():
    play_and_close("""
      at   | a          | b                    | c
      0    | start      | start                | start
      1    | send 5x
      2    | freeze
      2.1  | state, read, order v2 14, send 5x
      3    |            | send 6x, order v3 14
      4.5  | expect state 0, expect read 0, expect v2 0, expect 5x 0 | expect 6x 200, expect v3 200 active v3
      22   | thaw
      22.1 | order v2 14, read, state
      23.2 | expect v2 503, expect read 200 00000006, expect state 200 active v3 | state
      24   | order v4 9 | expect state 200 active v3
      25   | expect v4 200 active v4 | state
      25.5 |            | expect state 200 active v4
    """)


@test("a controller slowed thirtyfold answers with current data, with 503, or too late")
def _():
    world, statuses = OperatorWorld(), []
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
            for label, newest in (("read", f"{6 + turn:08x}"), ("state", f"v{2 + turn}")):
                status, found = world.answers["a", label]
                statuses.append(status)
                assert status in (0, 503) or status == 200 and newest in str(found), (turn, status, found)
        assert 200 in statuses  # it is slow, not cut off
    finally:
        world.close()


@test("a response read after a stall proves no contact: controller and proxy don't count as connected")
def _():
    # Guards against 1.6 s of contact, counted from the reading, by a response from before a stall of 20 s.
    world = OperatorWorld(proxies="f")
    try:
        for name in "abcf":
            world.start(name)
        world.run(2.0)
        controller, proxy = world.nodes["a"], world.nodes["f"]
        for task in proxy.periodic_tasks.tasks:
            task.cancel()

        async def stalled_poll(ip, port, hold):
            world.loop.now += 20.0  # all programs are stalled while the response waits unread
            return PollResponse("", 0, in_quorum=True)

        controller.peers.subscriber.poll = proxy.poller.subscriber.poll = stalled_poll
        world.loop.run_until_complete(controller.peers.poll("b"))
        assert not controller.in_quorum
        now = world.loop.now
        world.loop.run_until_complete(proxy.poller.poll_once())
        assert proxy.traffic_policy.controller_contact_at == now
    finally:
        world.close()


@test("a proxy started next to a cut-off controller uses its configuration and is ready after contact_s")
def _():
    # Guards against being ready at once with the old configuration of a controller that is cut off.
    world = OperatorWorld(proxies="fg", bounds={**BOUNDS, "contact_s": 3.0})
    try:
        for name in "abcf":
            world.start(name)
        world.run(1.0)
        world.execute("a", "send 5x")
        world.run(2.0)
        world.execute("a", "beat m ready")
        world.run(3.0)
        assert world.nodes["f"].ready  # in contact with a majority: ready with the first response
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
        assert world.version("g") == 6 and world.nodes["g"].readiness.quorum_contacted
    finally:
        world.close()


async def read_local_store(self, operation, key, peer):
    """Replace RegisterAccess.read by a read of this controller's own store."""
    value = self.publication.store.get(key)
    if key != "config" or value is None:
        return value
    digest = content_digest(unpack(value))
    return {"ver": self.publication.store.stamp(key)[0], "text": value, "digest": digest, "past": []}


@test("without the majority read, a cut-off controller answers {call} from its outdated store")
def _(call=each("state", "read", "send 5x"), label=each("state", "read", "5x")):
    original_read, RegisterAccess.read = RegisterAccess.read, read_local_store
    try:
        play_and_close(CUT_OFF.format(call=call, label=label, joined=200))
    except AssertionError as error:
        assert f"answered 200 to {label}" in str(error)
    else:
        raise AssertionError("the outdated answers were not detected")
    finally:
        RegisterAccess.read = original_read
