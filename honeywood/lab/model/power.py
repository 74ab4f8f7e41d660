"""Trouble at every call of the register's files, life after life: what an ended put wrote is there.

At each call power may go, the process may be killed (in a call that hangs, too), or the call be refused:
before it did anything, half way as on a full disk, or after it did all. When power goes, each file is what
its last sync left, with every block that changed since there, missing or cut, as chance says; a file whose
folder was not synced since it was made may be gone, and removals not synced so may be undone, each by itself.
A kill leaves all as it is, but sure of nothing that was not synced: a later loss of power may still take it.
"""

import os
import random
import shutil
import tempfile

import lmdb

from honeywood.gateway.register.file_operations import FileOperations
from honeywood.gateway.register.row_store import RowStore
from honeywood.lab.model.platter import GONE, KEPT, MIXED, Platter

POWER, KILL, HANG = "power", "kill", "hang"  # ends: after a call; in one that never comes back
REFUSED, FULL, DOUBT = "refused", "full", "doubt"  # a call that is refused, and did nothing, half, or all


class Lost(BaseException):
    """The process is gone; no handler of the program's runs."""


class Calls(FileOperations):
    """Files whose calls meet what `plan`, a dict by the call's number, says."""

    def __init__(self, folder, platter, plan):
        self.folder, self.platter, self.plan, self.made, self.opened = folder, platter, plan, 0, []

    def call(self, work, half=lambda: None, grows=True, refusal=OSError):
        """Does `work`, or what the plan says; `half` is what a full disk does of it. What doesn't grow a file
        does as well on a full disk."""
        self.made += 1
        what = self.plan.get(self.made)
        if what == REFUSED:
            raise refusal("refused")
        if what == HANG:
            raise Lost
        if what == FULL and grows:
            half()
            raise refusal("no room")
        found = work()
        if what in (POWER, KILL):
            raise Lost
        if what == DOUBT:
            raise refusal("refused, though done")
        return found

    def open(self, path, read_only):
        """An environment; making one may meet trouble."""
        if read_only:
            return super().open(path, True)

        def opened():
            self.opened.append(FileOperations.open(self, path, False))
            return self.opened[-1]

        return self.call(opened, opened, refusal=lmdb.DiskError)

    def commit(self, env, rows):
        """Writes rows; a full disk takes some of them."""
        some = dict(list(rows.items())[: len(rows) // 2])
        self.call(
            lambda: FileOperations.commit(self, env, rows),
            lambda: FileOperations.commit(self, env, some),
            refusal=lmdb.DiskError,
        )

    def sync(self, env):
        """Syncs an environment's file."""

        def synced():
            FileOperations.sync(self, env)
            self.synced(env.path())

        self.call(synced, grows=False, refusal=lmdb.DiskError)

    def synced(self, path):
        """Notes that a file as it is outlives a loss of power."""
        with open(path, "rb") as file:
            self.platter.files[os.path.basename(path)] = file.read()

    def write(self, path, text):
        """Writes a small file, and syncs it by a second call."""

        def written(text=text):
            with open(path, "wb") as file:
                file.write(text)

        self.call(written, lambda: written(text[: len(text) // 2]))
        self.call(lambda: self.synced(path), grows=False)

    def remove(self, path):
        """Removes a file; a loss of power may bring it back."""
        self.call(lambda: FileOperations.remove(self, path), grows=False)

    def sync_path(self, path):
        """Syncs a file that was found, or the names in a folder."""

        def settled():
            if not os.path.isdir(path):
                return self.synced(path)
            self.platter.names = set(os.listdir(path))
            for name in {*self.platter.files} - self.platter.names:
                del self.platter.files[name]

        self.call(settled, grows=False)

    def close(self):
        """Ends the use of all files."""
        for env in self.opened:
            env.close()


def drawn(draw, within=30, ends=(POWER, KILL, HANG)):
    """A plan: refusals one by one, or a disk that is full for some calls, and an end."""
    last, plan = draw.randrange(1, within), {}
    for _ in range(draw.choice((0, 0, 1, 1, 2, 4))):
        plan[draw.randrange(1, within)] = draw.choice((REFUSED, FULL, DOUBT))
    if draw.random() < 0.3:  # done but refused, and its file can't be removed
        begin = draw.randrange(1, within)
        plan.update({begin: DOUBT, begin + 1: REFUSED, begin + 2: REFUSED})
    if draw.random() < 0.3:
        begin = draw.randrange(1, within)
        plan.update({call: draw.choice((FULL, FULL, REFUSED)) for call in range(begin, begin + 9)})
    plan[last] = draw.choice(ends)
    return plan


def life(folder, draw, states, platter, plan, how, disk=RowStore):
    """One life on `folder`: the states that may be found after it, and how many calls it made. What is found
    must be one of `states`: all that ended puts wrote, with at most one later attempt that was refused."""
    calls = Calls(folder, platter, plan)
    wanted = states
    try:
        opened = begun(folder, calls, disk)
        found = opened.rows()
        assert found in states, f"{short(found)} is none of {[short(state) for state in states]}"
        wanted = [found]
        for _ in range(draw.randrange(1, 7)):
            rows = {
                f"k{draw.randrange(3)}": draw.choice((None, [draw.random(), "x" * size]))
                for size in draw.sample((1, 40, 700, 5000), draw.randrange(1, 3))
            }
            after = {key: row for key, row in {**wanted[0], **rows}.items() if row is not None}
            wanted.append(after)
            try:
                opened.put(rows)
            except OSError:
                continue  # it may be found, until a later one has ended
            wanted = [after]
        opened.close()
    except Lost:
        pass
    calls.close()
    if plan.get(calls.made) == POWER:
        platter.power(folder, draw, how)
    return wanted, calls.made


def begun(folder, calls, disk):
    """The disk, opened again and again where that is refused."""
    while True:
        try:
            return disk(folder, calls)
        except OSError:
            continue


def short(state):
    """A state as messages show it."""
    return {key: row and row[0] for key, row in state.items()}


def history(seed, lives=5, disk=RowStore, plans=drawn):
    """Lives one after the other, each ended by its plan, the last one whole; AssertionError where a row is
    lost. How many calls there were that met trouble."""
    draw, folder = random.Random(seed), tempfile.mkdtemp()
    states, platter, met = [{}], Platter(), 0
    try:
        for turn in range(lives):
            plan = plans(draw) if turn < lives - 1 else {}
            how = draw.choice((KEPT, GONE, MIXED))
            states, made = life(os.path.join(folder, "d"), draw, states, platter, plan, how, disk)
            met += sum(call <= made for call in plan)
        return met
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def every_call(seed, how, what=POWER, disk=RowStore):
    """One life of a script, with `what` at each of its calls in turn, power lost at the end of the life where
    it is not at that call; how many calls there are."""
    last = 0
    while True:
        last += 1
        draw, folder = random.Random(seed), tempfile.mkdtemp()
        try:
            path, platter = os.path.join(folder, "d"), Platter()
            states, _ = life(path, draw, [{}], platter, {}, how, disk)
            states, made = life(path, draw, states, platter, {last: what}, how, disk)
            if what != POWER:
                platter.power(path, draw, how)
            life(path, draw, states, platter, {}, how, disk)
        finally:
            shutil.rmtree(folder, ignore_errors=True)
        if made < last:
            return made
