"""Rows on disk, by lmdb. Rows are written whole, summed, and synced before `put` ends.

lmdb's pages carry no checksum: a write torn by a loss of power may leave a file that opens and is not sound,
and reading it may end the program. Therefore
- the checksum of each whole file stands beside it, with the number of the attempt that wrote it, and a file
  that doesn't match isn't opened;
- there are two files, written in turn; each write holds the rows of the one before as well. So each file is
  whole as of its attempt, and the one that is not being written holds all that puts had ended with;
- of the sound files that are found the one of the highest attempt counts, alone. Attempts are numbered in
  order, refused ones too: what a refused one left behind is never taken for what ended after it;
- a file that an attempt failed on is not written again, and one that has grown to twice its live pages isn't
  either: the next put writes all rows to a new one. Files of earlier lives are only read.

What must hold: a put that ended is found by every later open, whatever became of the attempts after it; of a
put that was refused, all rows or none are found, and none once a later put has ended. A file is sure to be
found only when its folder is synced after it was made; removals of files that come back do no harm. What an
open found is found by later ones: it is synced before anybody is told, since whoever wrote it may have been
killed before it did.
"""

import json
import os
import zlib

import lmdb

from honeywood.gateway.register.file_operations import PIECE, FileOperations

END, SUM = ".mdb", ".sum"
MOST = 64  # bytes of the text beside a file
SPARE = 64  # pages that a file may have beyond twice its live ones


class RowStore:
    """A folder with the register; used by one thread. Raises OSError."""

    def __init__(self, folder, calls=None):
        """`calls` makes the disk's calls; tests hand in one that loses power at them or refuses them."""
        self.folder, self.held, self.last, self.files = folder, {}, {}, [None, None]
        self.calls, self.place, self.failed = calls or FileOperations(), 0, []
        os.makedirs(folder, exist_ok=True)
        stems = {name.partition(".")[0] for name in os.listdir(folder)}
        self.made = max((int(stem) for stem in stems if stem.isdigit()), default=0)
        self.spare = [stem + END for stem in stems if stem.isdigit()]
        found = sorted(((*self._told(name), name) for name in self.spare), reverse=True)
        self.at = max((at for at, *_ in found), default=0)
        sound = next((name for at, text, name in found if text == self._sum(name, at)), None)
        self._settle(sound)
        if sound is not None:
            self.held = self._read(sound)

    def _settle(self, name):
        """What was found, or that nothing was, may never have been synced by the life that wrote or removed
        it: it is before others are told."""
        if name is not None:
            self.calls.settle(self._path(name))
            self.calls.settle(self._path(name) + SUM)
        self.calls.settle(self.folder)

    def _path(self, name):
        return os.path.join(self.folder, name)

    def _told(self, name):
        """What stands beside a file: the attempt that wrote it, 0 where that can't be told, and the text.
        Where it can't be read OSError is raised: an older file must not be taken for the newest."""
        try:
            with open(self._path(name) + SUM, "rb") as file:
                text = file.read(MOST)
        except FileNotFoundError:
            return 0, b""
        at = text.partition(b" ")[0]
        return int(at) if at.isdigit() else 0, text

    def _sum(self, name, at):
        """Attempt, length and checksum of a whole file."""
        length, summed = 0, zlib.crc32(b"%d" % at)
        try:
            with open(self._path(name), "rb") as file:
                while piece := file.read(PIECE):
                    length, summed = length + len(piece), zlib.crc32(piece, summed)
        except FileNotFoundError:
            return None
        return b"%d %d %08x" % (at, length, summed)

    def _read(self, name):
        try:
            env = self.calls.open(self._path(name), True)
            try:
                with env.begin() as reading:
                    return {bytes(key).decode(): json.loads(bytes(raw)) for key, raw in reading.cursor()}
            finally:
                env.close()
        except lmdb.Error as wrong:
            raise OSError(str(wrong)) from None

    def rows(self):
        """All rows by key."""
        return dict(self.held)

    def put(self, rows):
        """Writes rows, or removes those that are None; when it has ended, they are found by whoever opens the
        folder next."""
        self.at += 1
        self.failed = self._remove(self.failed)
        env, whole = self.files[self.place], self.files[self.place] is None
        try:
            if whole:
                env = self._make()
            fresh = {key.encode(): _raw(row) for key, row in rows.items()}
            before = {key.encode(): _raw(row) for key, row in self.held.items()} if whole else self.last
            self.calls.commit(env, {**before, **fresh})
            self.calls.sync(env)
            self.calls.write(env.path() + SUM, self._sum(os.path.basename(env.path()), self.at))
            if whole:
                self.calls.settle(self.folder)
        except (OSError, lmdb.Error) as wrong:
            self.failed += self._leave()
            if self.files[1 - self.place] is not None:  # it holds all: what else takes up room may go
                self.failed, self.spare = self.failed + self.spare, []
            self.failed = self._remove(self.failed)
            raise OSError(str(wrong)) from None
        self.last = fresh
        for key, row in rows.items():
            if row is None:
                self.held.pop(key, None)
            else:
                self.held[key] = row
        self.place = 1 - self.place
        self.spare = self._remove(self.spare)
        if self._grown():
            self.spare += self._leave()

    def _make(self):
        self.made += 1
        env = self.calls.open(self._path(f"{self.made:08d}{END}"), False)
        self.files[self.place] = env
        return env

    def _leave(self):
        """Writes no more to the file in turn; its name."""
        env, self.files[self.place] = self.files[self.place], None
        if env is None:
            return [f"{self.made:08d}{END}"]  # opening it failed, which may have made it
        name = os.path.basename(env.path())
        env.close()
        return [name]

    def _grown(self):
        """Whether the file in turn has grown to twice its live pages."""
        env = self.files[self.place]
        if env is None:
            return False
        stat = env.stat()
        live = sum(stat[kind] for kind in ("branch_pages", "leaf_pages", "overflow_pages"))
        return env.info()["last_pgno"] > 2 * live + SPARE

    def _remove(self, names):
        """Removes files; those that it couldn't, to be tried again."""
        left = []
        for name in names:
            try:
                for end in ("", SUM):
                    if os.path.exists(path := self._path(name + end)):
                        self.calls.remove(path)
            except OSError:
                left.append(name)
        return left

    def close(self):
        """Ends the use of the files; what was put is on disk."""
        for env in self.files:
            if env is not None:
                env.close()


def _raw(row):
    return None if row is None else json.dumps(row, separators=(",", ":")).encode()
