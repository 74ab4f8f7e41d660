"""Rows on disk, by lmdb. A row is written whole, with a checksum, and synced before `put` ends.

lmdb's pages carry no checksum: a write torn by a loss of power may leave a file that opens and is not sound,
and reading it may end the program. Therefore
- the checksum of each whole file stands beside it, and one that doesn't match isn't opened;
- there are two files, written in turn; each write holds the rows of the one before as well, so that the file
  which is not being written always holds all;
- what an earlier life left is only read. Each life writes files of its own, the first time with all rows,
  and removes the earlier ones when both of its own are whole.

What must hold: a put that ended is found by every later open, whatever became of the writes after it. Files
that come back after their removal do no harm, since of two rows the one that was put later counts.
"""

import json
import os
import zlib

import lmdb

from honeywood.system.ledger.files import Files

END, SUM = ".mdb", ".sum"


class Disk:
    """A folder with the register; used by one thread. Raises OSError."""

    def __init__(self, folder, calls=None):
        """`calls` makes the disk's calls; tests hand in one that loses power at them."""
        self.folder, self.held, self.last, self.files = folder, {}, {}, [None, None]
        self.calls = calls or Files()
        os.makedirs(folder, exist_ok=True)
        self.earlier = sorted(name for name in os.listdir(folder) if name.endswith(END))
        for name in self.earlier:
            for key, (at, row) in self._read(os.path.join(folder, name)).items():
                if at > self.held.get(key, (0, None))[0]:
                    self.held[key] = at, row
        self.at = max((at for at, _ in self.held.values()), default=0)
        self.made = max((int(name.partition("-")[0]) for name in self.earlier), default=0)

    def _read(self, path):
        """The sound rows of an earlier life's file; none of one whose last write was torn."""
        try:
            if _whole(path) != open(path + SUM, "rb").read():
                return {}
            env = self.calls.open(path, True)
            try:
                return _rows(env)
            finally:
                env.close()
        except (OSError, lmdb.Error):
            return {}

    def rows(self):
        """All rows by key."""
        return {key: row for key, (_, row) in self.held.items()}

    def put(self, rows):
        """Writes rows; when it has ended, they are found by whoever opens the folder next."""
        at = self.at + 1
        fresh = {key: (at, row) for key, row in rows.items()}
        whole = self.files[at % 2] is None
        try:
            if whole:
                self._make(at % 2)
            env, written = self.files[at % 2], {}
            for key, (put_at, row) in {**(self.held if whole else self.last), **fresh}.items():
                text = json.dumps([put_at, row], separators=(",", ":")).encode()
                written[key.encode()] = _sum(text) + text
            self.calls.commit(env, written)
            self.calls.sync(env)
            self.calls.write(env.path() + SUM, _whole(env.path()))
        except (OSError, lmdb.Error) as wrong:
            self._leave(at % 2)  # the next put begins another file there
            raise OSError(str(wrong)) from None
        self.at, self.last = at, fresh
        self.held.update(fresh)
        if self.earlier and None not in self.files:
            for name in self.earlier:
                for end in ("", SUM):
                    if os.path.exists(path := os.path.join(self.folder, name + end)):
                        self.calls.remove(path)
            self.earlier = []

    def _make(self, place):
        self.made += 1
        path = os.path.join(self.folder, f"{self.made:08d}-{place}{END}")
        self.files[place] = self.calls.open(path, False)

    def _leave(self, place):
        env, self.files[place] = self.files[place], None
        if env is not None:
            self.earlier.append(os.path.basename(env.path()))
            env.close()

    def close(self):
        for env in self.files:
            if env is not None:
                env.close()


def _whole(path):
    """A whole file's length and checksum."""
    with open(path, "rb") as file:
        data = file.read()
    return b"%d %08x" % (len(data), zlib.crc32(data))


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
