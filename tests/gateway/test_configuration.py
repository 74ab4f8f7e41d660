"""Calls and settings that can't be used, at programs that run: nothing of them takes effect."""

from timeline import World, config
from ward import each, test

from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.controller.heartbeat import check_machine_id, decode_heartbeat
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.errors import InvalidInput
from honeywood.gateway.rpc.statuses import status_of
from honeywood.lab.emulator.boot import boot
from honeywood.lab.emulator.silent_log import SilentLog


@test("a beat with more slots than any machine has is refused")
def _():
    # Found by review: a whole number too large for a fraction ended each request's choice of a machine.
    sent = {"svc": "s", "addr": "10.0.0.1:80", "seq": 1, "state": "ready"}
    assert decode_heartbeat("i-1", {**sent, "slots": 6}, "").record.slots == 6
    for slots in (10**400, 0, 1 << 21):
        try:
            decode_heartbeat("i-1", {**sent, "slots": slots}, "")
        except InvalidInput as wrong:
            assert "slots" in wrong.reason
        else:
            raise AssertionError(f"{slots} slots were taken")


NO_ADDRESSES = (
    "localhost:80",
    "machine.example:80",
    "10.0.0:80",
    "10.0.0.01:80",
    "10.0.0.256:80",
    "[::1]:80",
    "10.0.0.1:٨٠",
    "10.0.0.1:65536",
    "10.0.0.1:" + "9" * 5000,
    " 10.0.0.1:80",
    "10.0.0.1\0:80",
    ":80",
    7,
)


@test("a heartbeat from {addr!r} is refused with 400, and the error names key and peer")
def _(addr=each(*NO_ADDRESSES)):
    # Host names were taken: proxies would have waited for a resolver, or found nobody, request by request.
    sent = {"svc": "s", "addr": addr, "seq": 1, "state": "ready"}
    try:
        decode_heartbeat("i-1", sent, "10.0.0.9")
    except InvalidInput as wrong:
        assert status_of(wrong) == 400 and "addr" in str(wrong) and wrong.peer == "10.0.0.9"
    else:
        raise AssertionError("it was taken")


@test("ids that no row on disk can bear are refused: {id!r}")
def _(id=each("", "i\0left/00", "i" * 257, "é" * 129)):
    # lmdb's keys hold 511 bytes: one longer id, and no note of any machine was kept on that disk any more.
    for call in (lambda: decode_heartbeat(id, {}, "p"), lambda: check_machine_id("instances.leave", id, "p")):
        try:
            call()
        except InvalidInput as wrong:
            assert wrong.reason.startswith("of ") and wrong.peer == "p"
        else:
            raise AssertionError("it was taken")


def with_unknown_service():
    """A configuration whose route names a service that it doesn't have."""
    sent = config(7)
    sent["res"][0]["spec"]["svc"] = "nowhere"
    return sent


@test("no bad call of an operator or machine is acknowledged, and nothing of it holds")
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
        found = [task.result() for task in tasks]
        assert all(400 <= status < 500 for status, _ in found), f"{found}"
        assert all(told.operation and told.reason for _, told in found), f"{found}"
        assert world.version("b") is None and not world.nodes["b"].store.items_of(RecordKind.MACHINE)
    finally:
        world.close()


GOOD = boot("n", seeds=["10.0.0.1:82"], ip="10.0.0.9")


@test("settings that change are read again: seeds are taken over, what can't be used leaves all as it was")
def _():
    import asyncio
    import os
    import tempfile

    from honeywood.gateway.proxy.program import Proxy
    from honeywood.gateway.settings_file import SettingsFile

    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "boot.toml")
        proxy = Proxy(read_settings(GOOD), log=SilentLog())
        proxy.settings_file = SettingsFile(path)
        for at, (text, known) in enumerate(
            (
                (GOOD, ["10.0.0.1"]),
                (GOOD.replace("0.0.1:82", "0.0.2:82"), ["10.0.0.1", "10.0.0.2"]),
                ("seeds = 1", None),
            )
        ):
            with open(path, "w") as file:
                file.write(text)
            os.utime(path, ns=(at + 1, at + 1))
            asyncio.run(proxy.reload_settings())
            assert proxy.controllers == (known or ["10.0.0.1", "10.0.0.2"])
