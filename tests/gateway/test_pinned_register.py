"""The register's messages, exchanges and files stay as a released version wrote them.

All that is under recorded/ was written by the text of commit ae67546. Names of the program that may change
are used in the accessors at the top alone; what is expected is never edited.
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
from honeywood.lab.emulator.boot import boot
from honeywood.lab.emulator.silent_log import SilentLog

RECORDED = Path(__file__).parent / "recorded"
LONGEST_TEXT = 1500  # characters of a message that are recorded; of a longer one its hash is


# Accessors: the only names of the program that this file uses.


def register_with(settings, caller, make_disk):
    return Register(settings, caller, random.Random(1), SilentLog(), make_disk)


def paged(register, caller):
    """The two sides of the register's calls as a program connects them."""
    return PagedResponder(register.serve, lambda: 0.0)


def paged_caller(caller):
    return PagedCaller(caller)


def use_executor(register, executor):
    register.state.executor = executor


def answer_of(body):
    """What a caller gives for the JSON of an answer."""
    return body


def failure_of(peer, operation, reason, status):
    """What a caller gives for a call that was answered with another status."""
    raise CallRefused("/register", f"{operation}: {reason}", peer, status)


def error_of(error):
    """[operation, reason, peer, status] of an error that a served request ended with."""
    return [error.operation, error.reason, error.peer, status_of(error)]


SERVE_ERRORS = GatewayError


async def outcome_of(operation):
    """["value", it], or ["failed", reason, status] of change, read and the like."""
    try:
        return ["value", await operation]
    except RegisterUnavailable as error:
        return ["failed", error.reason, status_of(error)]


async def all_values(register):
    found = await outcome_of(register.read_all())
    return ["value", sorted(found[1].items())] if found[0] == "value" else found


async def synchronize(register, known):
    await register.manager.synchronize(known)


async def replace_member(register, lost, spare):
    found = await outcome_of(register.manager.replace_member(lost, spare))
    return ["value", found[1].encode_members()] if found[0] == "value" else found


async def keep_heartbeats(register, records):
    typed = {id: record and HeartbeatRecord(*record) for id, record in records.items()}
    await register.write_heartbeats(typed)


def kept_heartbeats(register):
    return [[id, *record] for id, record in register.state.heartbeats.items()]


def close_files(register):
    register.state.store.close()


def state_of(register):
    """What the register tells the program of itself."""
    membership = register.membership
    members = list(membership.members)
    return [membership.epoch, members, membership.intact, membership.is_synchronized, membership.is_voter]


def rows_on(folder):
    """The rows in a folder, as JSON values by key."""
    disk = RowStore(folder)
    try:
        return disk.rows()
    finally:
        disk.close()


def read_again(row):
    """A register's row through the type that it has in memory."""
    return row_from_json(row)


def request_again(text, peer):
    return requests.encode_request(requests.decode_request(json.loads(text), peer))


def reply_again(request_text, text, peer):
    request = requests.decode_request(json.loads(request_text), peer)
    return requests.encode_reply(requests.decode_reply(request, json.loads(text), peer))


# What is played; it was played in the same way when it was recorded.


def written(value):
    """JSON as it is sent."""
    return json.dumps(value, separators=(",", ":"))


def shortened(text):
    """A text, or the length and hash of a long one."""
    if len(text) <= LONGEST_TEXT:
        return text
    return f"{len(text)} {hashlib.sha256(text.encode()).hexdigest()}"


def recorded(name):
    return json.loads((RECORDED / name).read_text())


class AtOnce(Executor):
    """Does at once what is submitted, so that an exchange has one order."""

    def submit(self, work, *given):
        done = Future()
        try:
            done.set_result(work(*given))
        except Exception as error:
            done.set_exception(error)
        return done


class RowsInMemory:
    """A disk that keeps its rows for the next one on the same folder."""

    def __init__(self, kept):
        self.kept = kept

    def __call__(self, folder):
        self.folder = self.kept.setdefault(folder, {})
        return self

    def rows(self):
        return json.loads(json.dumps(self.folder))

    def put(self, rows):
        for key, row in json.loads(json.dumps(rows)).items():
            if row is None:
                self.folder.pop(key, None)
            else:
                self.folder[key] = row

    def close(self):
        pass


SEEDS = [f"127.0.0.{n}:82" for n in (1, 2, 3)]


def settings_of(ip, fresh, folder=None):
    return read_settings(boot(f"core-{ip}", seeds=SEEDS, fresh=fresh, ip=ip, data=folder or ip))


class Net:
    """Registers that call each other in memory, with every message noted by its way."""

    def __init__(self):
        self.kept, self.registers, self.responders, self.messages = {}, {}, {}, {}

    def caller(self, source):
        net = self

        class Caller:
            async def call(self, ip, port, path, body, within, idempotent=False):
                return await net.carry(source, ip, port, path, body)

        return paged_caller(Caller())

    async def carry(self, source, target, port, path, body):
        noted = self.messages.setdefault(f"{source} > {target}", [])
        text = written(body)
        noted.append(f"{port}{path} {shortened(text)}")
        for _ in range(3 * int(target[-1])):  # one after the other: messages have one order
            await asyncio.sleep(0)
        if target not in self.responders:
            return failure_of(target, "connect", "refused", 503)
        try:
            answer = written(await self.responders[target](json.loads(text), source))
        except SERVE_ERRORS as error:
            operation, reason, _, status = error_of(error)
            noted.append(f"{status} {operation}: {reason}")
            return failure_of(target, operation, reason, status)
        noted.append(shortened(answer))
        return answer_of(json.loads(answer))

    async def start(self, ip, fresh=True):
        register = register_with(settings_of(ip, fresh), self.caller(ip), RowsInMemory(self.kept))
        use_executor(register, AtOnce())
        await register.manager.open()
        self.registers[ip], self.responders[ip] = register, paged(register, self)
        return register

    def stop(self, ip):
        del self.registers[ip], self.responders[ip]


async def quiet():
    """Lets all that is under way end."""
    for _ in range(2000):
        await asyncio.sleep(0)


def letters(length, seed):
    return "".join(random.Random(seed).choices("abcdefghijklmnop", k=length))


async def play_fleet():
    """Four controllers: first members, changes, reads, a large value, a replacement, a lost disk."""
    net, outcomes = Net(), []
    one, two, three, four = (f"127.0.0.{n}" for n in (1, 2, 3, 4))

    async def note(operation):
        outcomes.append(shortened(written(await operation)))
        await quiet()

    for ip in (one, two, three):
        await net.start(ip)
    await synchronize(net.registers[one], [one, two, three])
    await quiet()
    await note(outcome_of(net.registers[one].change("config", lambda held: {"ver": 1, "text": "ü \u2028"})))
    await note(outcome_of(net.registers[two].change("config", lambda held: {**held, "ver": held["ver"] + 1})))
    await note(outcome_of(net.registers[three].read("config")))
    await note(outcome_of(net.registers[three].read("never changed")))
    large = {"text": letters(30_000, 1)}
    await note(outcome_of(net.registers[two].change("large", lambda held: large)))
    await note(outcome_of(net.registers[one].read("large")))
    for n in range(12):
        await note(outcome_of(net.registers[one].change(f"rollout/{n}", lambda held, n=n: letters(2000, n))))
    await note(all_values(net.registers[three]))
    await keep_heartbeats(net.registers[one], {"m1": [[7, 0], {"state": "ready"}], "m2": [[1, 0], None]})
    await keep_heartbeats(net.registers[one], {"m2": None})
    outcomes.append(written(kept_heartbeats(net.registers[one])))
    await net.start(four)
    net.stop(three)
    await note(replace_member(net.registers[one], three, four))
    for _ in range(4):
        for ip in (one, two, four):
            await synchronize(net.registers[ip], [one, two, three, four])
            await quiet()
    await note(outcome_of(net.registers[four].change("config", lambda held: {**held, "ver": 9})))
    net.stop(two)
    net.kept.pop(two)
    await net.start(two, fresh=False)
    for _ in range(4):
        await synchronize(net.registers[two], [one, two, three, four])
        await quiet()
    await net.start(three, fresh=False)
    await note(outcome_of(net.registers[three].change("config", lambda held: {**held, "ver": 10})))
    await synchronize(net.registers[three], [one, two, three, four])
    await quiet()
    await note(outcome_of(net.registers[two].change("config", lambda held: {**held, "ver": 11})))
    await note(all_values(net.registers[three]))
    net.stop(one)
    net.stop(four)
    await note(outcome_of(net.registers[two].read("config")))
    states = {ip: state_of(register) for ip, register in net.registers.items()}
    rows = {ip: shortened(written(rows)) for ip, rows in net.kept.items()}
    return {"messages": net.messages, "outcomes": outcomes, "states": states, "rows": rows}


async def play_served(asked):
    """[[request, answer or error]] of requests that one controller's disk serves in order."""
    net, found = Net(), []
    register = await net.start("127.0.0.1")
    for text in asked:
        try:
            answer = written(await net.responders["127.0.0.1"](json.loads(text), "127.0.0.2"))
        except SERVE_ERRORS as error:
            answer = error_of(error)
        found.append([text, answer])
    return {"served": found, "rows": net.kept["127.0.0.1"], "state": state_of(register)}


# The tests.


MESSAGES = recorded("register_messages.json") if (RECORDED / "register_messages.json").exists() else {}


@test("a recorded request of {step} is read and written again to the same bytes")
def _(step=each(*sorted(MESSAGES))):
    for text in MESSAGES[step]["requests"]:
        assert written(request_again(text, "peer")) == text


@test("each recorded reply to {step} is read and written again to the same bytes")
def _(step=each(*sorted(MESSAGES))):
    for text in MESSAGES[step]["replies"]:
        again = written(reply_again(MESSAGES[step]["requests"][0], text, "peer"))
        assert json.loads(again) == json.loads(text)
        # the released version read the fields of a configuration in another order than it sent them in
        assert again == text or json.loads(again)["reply"] == "fenced"


@test("a recorded sequence of requests gets the recorded answers, and leaves the recorded rows")
def _():
    before = recorded("register_served.json")
    found = asyncio.run(play_served([text for text, _ in before["served"]]))
    for one, other in zip(found["served"], before["served"], strict=True):
        assert one == other
    assert json.loads(written(found)) == before


@test("four controllers send each other the recorded messages, and end with the recorded rows")
def _():
    found, before = json.loads(written(asyncio.run(play_fleet()))), recorded("register_fleet.json")
    for way, texts in before["messages"].items():
        assert found["messages"][way] == texts, way
    assert found == before


FOLDERS = ("register_folder", "register_folder_sealed")


def on_disk(folder):
    """A copy of a recorded folder, which an open may write to."""
    copy = tempfile.mkdtemp()
    shutil.copytree(RECORDED / folder, copy, dirs_exist_ok=True)
    return copy


@test("the data folder {folder} that the released version wrote opens with the same rows")
def _(folder=each(*FOLDERS)):
    copy, before = on_disk(folder), recorded(f"{folder}.json")
    try:
        assert rows_on(copy) == before["rows"]
        for row in before["rows"].values():
            if isinstance(row, list) and len(row) == 3:  # a register's row
                assert written(read_again(row)) == written(row)
    finally:
        shutil.rmtree(copy)


@test("a controller starts on the data folder {folder}, knows what it knew, and writes rows that are read")
def _(folder=each(*FOLDERS)):
    copy, before = on_disk(folder), recorded(f"{folder}.json")

    async def play():
        net = Net()
        settings = settings_of("127.0.0.1", False, copy)
        register = register_with(settings, net.caller("127.0.0.1"), RowStore)
        await register.manager.open()
        assert state_of(register) == before["state"]
        assert sorted(kept_heartbeats(register)) == sorted(before["heartbeats"])
        await keep_heartbeats(register, {"new": [[1, 0], {"state": "ready"}]})
        close_files(register)

    try:
        asyncio.run(play())
        assert rows_on(copy) == {**before["rows"], "note/new": [[1, 0], {"state": "ready"}]}
    finally:
        shutil.rmtree(copy)
