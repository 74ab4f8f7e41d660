"""Power lost at every call of the register's files, life after life: what an ended put wrote is there.

After each call the folder is looked at. When power goes, each file is what its last sync left, with every
block that changed since there, missing or cut, as chance says, and removals may be undone.
"""

import os
import random
import shutil
import tempfile

from honeywood.system.ledger.disk import Disk
from honeywood.system.ledger.files import Files

BLOCK = 512  # bytes that are written whole or not at all, or not even that
KEPT, GONE, MIXED = "all kept", "all gone", "mixed"  # what becomes of writes that were not synced


class Lost(BaseException):
    """Power is gone; no handler of the program's runs."""


class Calls(Files):
    """Files that lose power after their `last`-th call (None: never), and know what was synced by then."""

    def __init__(self, folder, last=None):
        self.folder, self.last, self.made, self.synced, self.opened = folder, last, 0, {}, []

    def begin(self):
        """What the folder holds when a life begins is on disk."""
        self.synced = content(self.folder)

    def called(self, synced=None):
        if synced is not None:
            with open(synced, "rb") as file:
                self.synced[os.path.basename(synced)] = file.read()
        self.made += 1
        if self.last is not None and self.made >= self.last:
            raise Lost

    def open(self, path, read_only):
        env = super().open(path, read_only)
        if not read_only:
            self.opened.append(env)
            self.called()
        return env

    def commit(self, env, rows):
        super().commit(env, rows)
        self.called()

    def sync(self, env):
        super().sync(env)
        self.called(env.path())

    def write(self, path, text):
        with open(path, "wb") as file:
            file.write(text)
        self.called()
        self.called(path)

    def remove(self, path):
        super().remove(path)
        self.called()

    def lose(self, draw, how):
        """Leaves the folder as power leaves it."""
        for env in self.opened:
            env.close()
        now = content(self.folder)
        for name in {*now, *self.synced}:
            left = survives(self.synced.get(name), now.get(name), draw, how)
            path = os.path.join(self.folder, name)
            if left is not None:
                with open(path, "wb") as file:
                    file.write(left)
            elif os.path.exists(path):
                os.unlink(path)


def content(folder):
    if not os.path.isdir(folder):
        return {}
    return {name: open(os.path.join(folder, name), "rb").read() for name in os.listdir(folder)}


def survives(synced, now, draw, how):
    """What is left of a file whose last sync left `synced` and which holds `now`; None: no such file."""
    if how == GONE or synced == now:
        return synced
    if now is None:
        return synced if how == MIXED and draw.random() < 0.5 else None
    if how == KEPT:
        return now
    if synced is None and draw.random() < 0.3:
        return None
    before, length = (
        synced or b"",
        draw.choice((len(synced or b""), len(now), max(len(synced or b""), len(now)))),
    )
    found = bytearray(before.ljust(length, b"\0")[:length])
    for at in range(0, length, BLOCK):
        keep = draw.choice((0, BLOCK, BLOCK, draw.randrange(BLOCK)))
        piece = now[at : at + keep]
        found[at : at + len(piece)] = piece
    return bytes(found[:length])


def life(folder, draw, held, last, how, disk=Disk):
    """One life on `folder`: {key: rows that may be read}, and the calls it made. `held` are those allowed
    when it begins; every row read must be among them. Power goes after the `last`-th call."""
    calls = Calls(folder, last)
    calls.begin()
    doubt = {}
    try:
        opened = disk(folder, calls)
        found = opened.rows()
        for key, fit in held.items():
            assert found.get(key) in fit, f"{key}: {str(found.get(key))[:60]} is none of {str(fit)[:160]}"
        sure = dict(found)
        for _ in range(draw.randrange(1, 5)):
            rows = {f"k{draw.randrange(3)}": [draw.random(), "x" * draw.choice((1, 40, 700, 5000))]}
            doubt = rows
            opened.put(rows)
            sure.update(rows)
            doubt = {}
        calls.called()
    except Lost:
        pass
    else:
        if last is None:
            opened.close()
            return {key: [row] for key, row in sure.items()}, calls.made
    allowed = {key: [row] for key, row in sure.items()}
    for key, row in doubt.items():
        allowed[key] = [*allowed.get(key, [None]), row]
    calls.lose(draw, how)
    return allowed, calls.made


def history(seed, lives=4, disk=Disk):
    """Lives one after the other, power lost in each but the last; AssertionError where a row is lost."""
    draw, folder = random.Random(seed), tempfile.mkdtemp()
    held, lost = {}, 0
    try:
        for turn in range(lives):
            last = draw.randrange(1, 30) if turn < lives - 1 else None
            held, made = life(
                os.path.join(folder, "d"), draw, held, last, draw.choice((KEPT, GONE, MIXED)), disk
            )
            lost += last is not None
        return lost
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def every_call(seed, how, disk=Disk):
    """One life of a script, with power lost after each of its calls in turn; how many calls there are."""
    last = 0
    while True:
        last += 1
        draw, folder = random.Random(seed), tempfile.mkdtemp()
        try:
            path = os.path.join(folder, "d")
            held, _ = life(path, draw, {}, None, how, disk)
            held, made = life(path, draw, held, last, how, disk)
            life(path, draw, held, None, how, disk)
        finally:
            shutil.rmtree(folder, ignore_errors=True)
        if made < last:
            return made
