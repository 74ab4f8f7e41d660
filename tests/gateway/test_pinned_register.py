"""Tests that the register's messages, exchanges and files stay as a released version wrote them.

Everything under recorded/ was written by the code of commit ae67546. Names of the program, which may change,
are used only in the accessors at the top; the recorded expectations are never edited.
"""

import asyncio
import hashlib
import json
import random
import shutil
import tempfile
from concurrent.futures import Executor, Future
from pathlib import Path

from ward import each, test

from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.errors import CallRefused, GatewayError
from honeywood.gateway.register import requests
from honeywood.gateway.register.errors import RegisterUnavailable
from honeywood.gateway.register.paged_caller import PagedCaller
from honeywood.gateway.register.paged_responder import PagedResponder
from honeywood.gateway.register.register import Register
from honeywood.gateway.register.row import row_from_json
from honeywood.gateway.register.row_store import RowStore
from honeywood.gateway.register.state_update import HeartbeatRecord
from honeywood.gateway.rpc.statuses import status_of
from honeywood.lab.emulator.boot import settings_text
from honeywood.lab.emulator.silent_log import SilentLog

RECORDED = Path(__file__).parent / "recorded"
MAX_TEXT_CHARACTERS = 1500  # a longer text is recorded as its length and hash


# Accessors: only these use names of the program.


def register_with(settings, caller, open_store):
    return Register(settings, caller, random.Random(1), SilentLog(), open_store)


def paged(register, caller):
    """Returns the responding side of the register's calls, connected as a program does it."""
    return PagedResponder(register.serve, lambda: 0.0)


def paged_caller(caller):
    return PagedCaller(caller)


def use_executor(register, executor):
    register.state.executor = executor


def response_of(body):
    """Returns what a caller returns for the JSON body of a response."""
    return body


def failure_of(peer, operation, reason, status):
    """Raises what a caller raises for a response with an error status."""
    raise CallRefused("/register", f"{operation}: {reason}", peer, status)


def error_of(error):
    """Returns [operation, reason, peer, status] of an error that ended a served request."""
    return [error.operation, error.reason, error.peer, status_of(error)]


SERVE_ERRORS = GatewayError


async def outcome_of(operation):
    """Returns ["value", value] or ["failed", reason, status] for an operation like change or read."""
    try:
        return ["value", await operation]
    except RegisterUnavailable as error:
        return ["failed", error.reason, status_of(error)]


async def all_values(register):
    outcome = await outcome_of(register.read_all())
    return ["value", sorted(outcome[1].items())] if outcome[0] == "value" else outcome


async def synchronize(register, known):
    await register.manager.synchronize(known)


async def replace_member(register, lost, spare):
    outcome = await outcome_of(register.manager.replace_member(lost, spare))
    return ["value", outcome[1].encode_members()] if outcome[0] == "value" else outcome


async def write_heartbeats(register, records):
    typed = {id: record and HeartbeatRecord(*record) for id, record in records.items()}
    await register.write_heartbeats(typed)


def stored_heartbeats(register):
    return [[id, *record] for id, record in register.state.heartbeats.items()]


def close_files(register):
    register.state.store.close()


def state_of(register):
    """Returns the state that the register exposes to the program."""
    membership = register.membership
    members = list(membership.members)
    return [membership.epoch, members, membership.intact, membership.is_synchronized, membership.is_voter]


def rows_on(folder):
    """Returns the rows in a folder, as JSON values by key."""
    store = RowStore(folder)
    try:
        return store.rows()
    finally:
        store.close()


def decode_row(row):
    """Returns a register's row as the type that it has in memory."""
    return row_from_json(row)


def reencode_request(text, peer):
    return requests.encode_request(requests.decode_request(json.loads(text), peer))


def reencode_reply(request_text, text, peer):
    request = requests.decode_request(json.loads(request_text), peer)
    return requests.encode_reply(requests.decode_reply(request, json.loads(text), peer))


# The scenario, which was played in the same way for the recording.


def compact_json(value):
    """Returns the JSON text of a value as it is sent."""
    return json.dumps(value, separators=(",", ":"))


def shortened(text):
    """Returns a text, or the length and hash of a long one."""
    if len(text) <= MAX_TEXT_CHARACTERS:
        return text
    return f"{len(text)} {hashlib.sha256(text.encode()).hexdigest()}"


def recorded(name):
    return json.loads((RECORDED / name).read_text())


class SynchronousExecutor(Executor):
    """Runs submitted functions immediately, so that the order of messages is deterministic."""

    def submit(self, function, *arguments):
        future = Future()
        try:
            future.set_result(function(*arguments))
        except Exception as error:
            future.set_exception(error)
        return future


class InMemoryStore:
    """A store whose rows stay available to the next store on the same folder."""

    def __init__(self, folders):
        self.folders = folders

    def __call__(self, folder):
        self.stored = self.folders.setdefault(folder, {})
        return self

    def rows(self):
        return json.loads(json.dumps(self.stored))

    def put(self, rows):
        for key, row in json.loads(json.dumps(rows)).items():
            if row is None:
                self.stored.pop(key, None)
            else:
                self.stored[key] = row

    def close(self):
        pass


SEEDS = [f"127.0.0.{n}:82" for n in (1, 2, 3)]


def settings_of(ip, fresh, folder=None):
    return read_settings(settings_text(f"core-{ip}", seeds=SEEDS, fresh=fresh, ip=ip, data=folder or ip))


class Network:
    """Registers that call each other in memory; every message is logged by its source and target."""

    def __init__(self):
        self.folders, self.registers, self.responders, self.messages = {}, {}, {}, {}

    def caller(self, source):
        network = self

        class Caller:
            async def call(self, ip, port, path, body, timeout_s, idempotent=False):
                return await network.deliver(source, ip, port, path, body)

        return paged_caller(Caller())

    async def deliver(self, source, target, port, path, body):
        log = self.messages.setdefault(f"{source} > {target}", [])
        text = compact_json(body)
        log.append(f"{port}{path} {shortened(text)}")
        for _ in range(
            3 * int(target[-1])
        ):  # a delay for each target makes the order of messages deterministic
            await asyncio.sleep(0)
        if target not in self.responders:
            return failure_of(target, "connect", "refused", 503)
        try:
            response = compact_json(await self.responders[target](json.loads(text), source))
        except SERVE_ERRORS as error:
            operation, reason, _, status = error_of(error)
            log.append(f"{status} {operation}: {reason}")
            return failure_of(target, operation, reason, status)
        log.append(shortened(response))
        return response_of(json.loads(response))

    async def start(self, ip, fresh=True):
        register = register_with(settings_of(ip, fresh), self.caller(ip), InMemoryStore(self.folders))
        use_executor(register, SynchronousExecutor())
        await register.manager.open()
        self.registers[ip], self.responders[ip] = register, paged(register, self)
        return register

    def stop(self, ip):
        del self.registers[ip], self.responders[ip]


async def settle():
    """Waits until all tasks that are in progress have ended."""
    for _ in range(2000):
        await asyncio.sleep(0)


def random_text(length, seed):
    return "".join(random.Random(seed).choices("abcdefghijklmnop", k=length))


async def play_fleet():
    """Plays bootstrap, changes, reads, a large value, a replacement and a lost disk on four controllers."""
    network, outcomes = Network(), []
    one, two, three, four = (f"127.0.0.{n}" for n in (1, 2, 3, 4))

    async def record(operation):
        outcomes.append(shortened(compact_json(await operation)))
        await settle()

    for ip in (one, two, three):
        await network.start(ip)
    await synchronize(network.registers[one], [one, two, three])
    await settle()
    await record(
        outcome_of(network.registers[one].change("config", lambda current: {"ver": 1, "text": "ü \u2028"}))
    )
    await record(
        outcome_of(
            network.registers[two].change("config", lambda current: {**current, "ver": current["ver"] + 1})
        )
    )
    await record(outcome_of(network.registers[three].read("config")))
    await record(outcome_of(network.registers[three].read("never changed")))
    large = {"text": random_text(30_000, 1)}
    await record(outcome_of(network.registers[two].change("large", lambda current: large)))
    await record(outcome_of(network.registers[one].read("large")))
    for n in range(12):
        await record(
            outcome_of(
                network.registers[one].change(f"rollout/{n}", lambda current, n=n: random_text(2000, n))
            )
        )
    await record(all_values(network.registers[three]))
    await write_heartbeats(network.registers[one], {"m1": [[7, 0], {"state": "ready"}], "m2": [[1, 0], None]})
    await write_heartbeats(network.registers[one], {"m2": None})
    outcomes.append(compact_json(stored_heartbeats(network.registers[one])))
    await network.start(four)
    network.stop(three)
    await record(replace_member(network.registers[one], three, four))
    for _ in range(4):
        for ip in (one, two, four):
            await synchronize(network.registers[ip], [one, two, three, four])
            await settle()
    await record(outcome_of(network.registers[four].change("config", lambda current: {**current, "ver": 9})))
    network.stop(two)
    network.folders.pop(two)
    await network.start(two, fresh=False)
    for _ in range(4):
        await synchronize(network.registers[two], [one, two, three, four])
        await settle()
    await network.start(three, fresh=False)
    await record(
        outcome_of(network.registers[three].change("config", lambda current: {**current, "ver": 10}))
    )
    await synchronize(network.registers[three], [one, two, three, four])
    await settle()
    await record(outcome_of(network.registers[two].change("config", lambda current: {**current, "ver": 11})))
    await record(all_values(network.registers[three]))
    network.stop(one)
    network.stop(four)
    await record(outcome_of(network.registers[two].read("config")))
    states = {ip: state_of(register) for ip, register in network.registers.items()}
    rows = {ip: shortened(compact_json(rows)) for ip, rows in network.folders.items()}
    return {"messages": network.messages, "outcomes": outcomes, "states": states, "rows": rows}


async def play_served(request_texts):
    """Serves requests in order on one controller's disk; returns [request, response or error] of each."""
    network, served = Network(), []
    register = await network.start("127.0.0.1")
    for text in request_texts:
        try:
            response = compact_json(await network.responders["127.0.0.1"](json.loads(text), "127.0.0.2"))
        except SERVE_ERRORS as error:
            response = error_of(error)
        served.append([text, response])
    return {"served": served, "rows": network.folders["127.0.0.1"], "state": state_of(register)}


MESSAGES = recorded("register_messages.json") if (RECORDED / "register_messages.json").exists() else {}


@test("the recorded requests of {step} are encoded to the same bytes after decoding")
def _(step=each(*sorted(MESSAGES))):
    for text in MESSAGES[step]["requests"]:
        assert compact_json(reencode_request(text, "peer")) == text


@test("the recorded replies to {step} are encoded to the same bytes after decoding")
def _(step=each(*sorted(MESSAGES))):
    for text in MESSAGES[step]["replies"]:
        reencoded = compact_json(reencode_reply(MESSAGES[step]["requests"][0], text, "peer"))
        assert json.loads(reencoded) == json.loads(text)
        # the released version decoded the fields of a configuration in another order than it encoded them
        assert reencoded == text or json.loads(reencoded)["reply"] == "fenced"


@test("a recorded sequence of requests gets the recorded responses and results in the recorded rows")
def _():
    expected = recorded("register_served.json")
    actual = asyncio.run(play_served([text for text, _ in expected["served"]]))
    for actual_pair, expected_pair in zip(actual["served"], expected["served"], strict=True):
        assert actual_pair == expected_pair
    assert json.loads(compact_json(actual)) == expected


@test("four controllers send each other the recorded messages and end with the recorded rows")
def _():
    actual, expected = json.loads(compact_json(asyncio.run(play_fleet()))), recorded("register_fleet.json")
    for direction, texts in expected["messages"].items():
        assert actual["messages"][direction] == texts, direction
    assert actual == expected


FOLDERS = ("register_folder", "register_folder_sealed")


def copy_of(folder):
    """Returns the path of a copy of a recorded folder, since an open may write to it."""
    copy = tempfile.mkdtemp()
    shutil.copytree(RECORDED / folder, copy, dirs_exist_ok=True)
    return copy


@test("the data folder {folder} that the released version wrote opens with the same rows")
def _(folder=each(*FOLDERS)):
    copy, expected = copy_of(folder), recorded(f"{folder}.json")
    try:
        assert rows_on(copy) == expected["rows"]
        for row in expected["rows"].values():
            if isinstance(row, list) and len(row) == 3:  # a register's row
                assert compact_json(decode_row(row)) == compact_json(row)
    finally:
        shutil.rmtree(copy)


@test("a controller started on the data folder {folder} has the recorded state and writes readable rows")
def _(folder=each(*FOLDERS)):
    copy, expected = copy_of(folder), recorded(f"{folder}.json")

    async def play():
        network = Network()
        settings = settings_of("127.0.0.1", False, copy)
        register = register_with(settings, network.caller("127.0.0.1"), RowStore)
        await register.manager.open()
        assert state_of(register) == expected["state"]
        assert sorted(stored_heartbeats(register)) == sorted(expected["heartbeats"])
        await write_heartbeats(register, {"new": [[1, 0], {"state": "ready"}]})
        close_files(register)

    try:
        asyncio.run(play())
        assert rows_on(copy) == {**expected["rows"], "note/new": [[1, 0], {"state": "ready"}]}
    finally:
        shutil.rmtree(copy)
