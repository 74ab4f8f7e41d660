"""Rows on disk, by lmdb. A row is written whole, with a checksum, and synced before `put` ends.

lmdb's two meta pages carry no checksum, so a write that was torn by a loss of power may leave a file that
opens on what never was. Therefore there are two files, written in turn: each write holds the rows of the one
before as well, so that the file which is not being written always holds all. What must hold: a put that ended
is found by every later open, whatever became of the writes after it.
"""

import json
import os
import shutil
import zlib

import lmdb

MAP = 64 << 20  # bytes that each file may grow to
PLACES = ("even", "odd")


class Disk:
    """A folder with the register; used by one thread. Raises OSError or lmdb.Error."""

    def __init__(self, folder):
        self.folder, self.last, self.at = folder, {}, 0
        os.makedirs(folder, exist_ok=True)
        self.files, self.held = [], {}
        for place in PLACES:
            env, rows = self._open(os.path.join(folder, place))
            self.files.append(env)
            for key, (at, row) in rows.items():
                if at > self.held.get(key, (0, None))[0]:
                    self.held[key] = at, row
        self.at = max((at for at, _ in self.held.values()), default=0)
        self.last = dict(self.held)  # both files are made whole by the next two puts

    def _open(self, path):
        """The file and its sound rows. One that ended the program when it was opened last is begun anew."""
        mark = path + ".opening"
        if os.path.exists(mark):
            shutil.rmtree(path, ignore_errors=True)
        open(mark, "wb").close()
        try:
            env = lmdb.open(path, map_size=MAP, lock=False, readahead=False)
            rows = _rows(env)
        except lmdb.Error:
            shutil.rmtree(path, ignore_errors=True)
            env, rows = lmdb.open(path, map_size=MAP, lock=False, readahead=False), {}
        os.unlink(mark)
        return env, rows

    def rows(self):
        """All rows by key."""
        return {key: row for key, (_, row) in self.held.items()}

    def put(self, rows):
        self.at += 1
        fresh = {key: (self.at, row) for key, row in rows.items()}
        env = self.files[self.at % 2]
        with env.begin(write=True) as writing:
            for key, (at, row) in {**self.last, **fresh}.items():
                text = json.dumps([at, row], separators=(",", ":")).encode()
                writing.put(key.encode(), _sum(text) + text)
        env.sync(True)
        # The first put after an open brings one file up to all that both held, the second the other one.
        self.last = fresh if self.at > 1 and self.last is not self.held else {**self.held, **fresh}
        self.held.update(fresh)

    def close(self):
        for env in self.files:
            env.close()


def _rows(env):
    """What is sound: rows whose checksum holds."""
    found = {}
    with env.begin() as reading:
        for key, raw in reading.cursor():
            told, text = bytes(raw[:8]), bytes(raw[8:])
            if told == _sum(text):
                found[bytes(key).decode()] = tuple(json.loads(text))
    return found


def _sum(text):
    return b"%08x" % zlib.crc32(text)
