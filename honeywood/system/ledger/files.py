"""The calls that a disk is used by, each of them a moment at which power may go."""

import os

import lmdb

MAP = 64 << 20  # bytes that each file may grow to


class Files:
    """lmdb's files and small ones beside them."""

    def open(self, path, read_only):
        return lmdb.open(path, map_size=MAP, subdir=False, lock=False, readonly=read_only, readahead=False)

    def commit(self, env, rows):
        """Writes rows of bytes; nothing of it is sure before a sync."""
        with env.begin(write=True) as writing:
            for key, raw in rows.items():
                writing.put(key, raw)

    def sync(self, env):
        env.sync(True)

    def write(self, path, text):
        """A small file's content, on disk when this ends."""
        with open(path, "wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())

    def remove(self, path):
        """A removal may be lost with power, and the file come back: nothing rests on it."""
        os.unlink(path)
