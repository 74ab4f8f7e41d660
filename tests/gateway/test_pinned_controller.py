"""Compares what a controller answers, stores and publishes, byte for byte, with recordings.

The recordings were made with the program at commit ae67546. recorded/controller_calls.json holds scenes. Each
consists of steps (a call and the status, headers and body of its answer) and of the controller's state after
the last step: the rows on its disk and the records in its store, as published.
recorded/controller_disk.json holds the files of a controller's data folder.

When names of the program change, the accessors below are adapted; the recorded files never change.
"""

import json
import tempfile
import zlib
from base64 import b64decode
from pathlib import Path

from ward import each, test

from honeywood.gateway.register.row_store import RowStore
from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
from honeywood.gateway.rpc.request_context import CONTEXT, RequestContext
from honeywood.lab.emulator.loop import REFUSING_DISK
from honeywood.lab.emulator.world import World

RECORDED = Path(__file__).parent / "recorded"
ANSWERED_WITHIN_S = 0.3  # seconds per step, unless the step specifies another time
OPERATORS_PORT, METRICS_PORT = 82, 9464
SCENES = (
    "instances",
    "configurations",
    "rollouts",
    "requests that are malformed",
    "other programs",
    "metrics",
    "cut off",
    "not replicated in time",
    "stalled",
    "before the register is bootstrapped",
    "the disk refuses writes",
)


# Accessors: only these depend on names in the program.
def application(world, name):
    """Return the ASGI application of a controller."""
    return world.nodes[name].app


def open_metrics_port(world, name):
    """Make a controller answer at its metrics address."""
    world.nodes[name].metrics_endpoint.port = METRICS_PORT


def refuse_writes(world, name):
    """Make a controller's disk refuse all writes."""
    world.set_disk_fault(name, REFUSING_DISK)


def published_records(world, name):
    """Return the records of a controller's store in the form of a response to /news: [key, stamp, value]."""
    records = world.nodes[name].publisher.store.records
    return [[key, records[key].stamp, records[key].value] for key in sorted(records)]


def disk_rows(world, name):
    """Return the rows on a controller's disk by key, in the written form."""
    return dict(sorted(world.disks.get(name, {}).items()))


def request_context(target, left):
    """Return the context that the server adds to an ASGI scope."""
    return RequestContext(target, ClientDisconnect(lambda: left))


class DiskWorld(World):
    """A world whose controllers store their rows in real folders below `folder`."""

    def __init__(self, folder, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.folder = folder

    def open_disk(self, folder):
        return RowStore(f"{self.folder}/{folder}")


# Replay of the recordings.
class Exchange:
    """One call to a controller's application, and the answer that it sends."""

    def __init__(self, world, name, step):
        self.messages, self.step = [], step
        target = step["target"]
        path, _, query = target.partition("?")
        scope = {
            "type": "http",
            "client": ("192.0.2.1", 1),
            "server": (name, step.get("port", OPERATORS_PORT)),
            "method": step.get("method", "POST"),
            "path": path,
            "query_string": query.encode(),
            CONTEXT: request_context(target.encode(), step.get("left", False)),
        }
        world.processes[name].run(application(world, name)(scope, self.receive, self.send))

    async def receive(self):
        if self.step.get("broken_off"):
            return {"type": "http.disconnect"}
        body = self.step.get("text", "").encode() * self.step.get("repeated", 1)
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(self, message):
        self.messages.append(message)

    def answer(self):
        """Return the answer in the recorded form; None if there is none yet."""
        if not self.messages:
            return None
        start, *bodies = self.messages
        return {
            "status": start["status"],
            "headers": [[key.decode(), value.decode()] for key, value in start["headers"]],
            "body": b"".join(message["body"] for message in bodies).decode(),
        }


def play(world, scene):
    """Run a scene's steps in a world; return their answers in order."""
    for name in world.controllers:
        world.start(name)
    world.run(scene["begins_s"])
    answers = []
    for step in scene["steps"]:
        if "cut" in step:
            world.partition(step["cut"], [other for other in world.controllers if other != step["cut"]])
        world.loop.now += step.get("stalled_s", 0.0)
        if step.get("disk_refuses"):
            refuse_writes(world, "a")
        if step.get("metrics_port"):
            open_metrics_port(world, "a")
        exchanges = [Exchange(world, "a", step)] if "target" in step else []
        world.run(world.loop.time() + step.get("within_s", ANSWERED_WITHIN_S))
        answers += [exchange.answer() for exchange in exchanges]
    return answers


def recorded(name):
    """Return the content of a recorded file."""
    return json.loads((RECORDED / name).read_text())


def compact_json(value):
    """Return a value as JSON in the controller's format."""
    return json.dumps(value, separators=(",", ":"))


def make_world(scene):
    """Return a world set up as the one in which a scene was recorded."""
    world = World(scene["controllers"], tolerated_failures=scene["tolerated"])
    world.fresh = scene["fresh"]
    return world


def play_in_new_world(scene):
    """Play a scene; return its answers and the final published records and rows of controller a."""
    world = make_world(scene)
    try:
        answers = play(world, scene)
        return answers, compact_json(published_records(world, "a")), compact_json(disk_rows(world, "a"))
    finally:
        world.close()


@test("a controller answers as recorded, and stores and publishes the recorded bytes: {name}")
def _(name=each(*SCENES)):
    scene = recorded("controller_calls.json")[name]
    answers, records, rows = play_in_new_world(scene)
    calls = [step for step in scene["steps"] if "target" in step]
    assert len(answers) == len(calls)
    for step, answer in zip(calls, answers):
        assert answer == step["answer"], step["target"]
    assert records == scene["records"]
    assert rows == scene["rows"]


@test("a controller that starts with a recorded data folder answers like the controller that wrote it")
def _():
    scene = recorded("controller_disk.json")
    with tempfile.TemporaryDirectory() as folder:
        data = Path(folder) / "a"
        data.mkdir()
        for name, packed in scene["files"].items():
            (data / name).write_bytes(zlib.decompress(b64decode(packed)))
        world = DiskWorld(folder, scene["controllers"], tolerated_failures=scene["tolerated"])
        world.fresh = scene["fresh"]
        try:
            answers = play(world, scene)
            records = compact_json(published_records(world, "a"))
        finally:
            world.close()
    for step, answer in zip(scene["steps"], answers):
        assert answer == step["answer"], step["target"]
    assert records == scene["records"]
