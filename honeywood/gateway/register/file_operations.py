"""The calls that a disk is used by, each of them a moment at which power may go or the call be refused."""

import os

import lmdb

MAP = 64 << 20  # bytes that each file may grow to
PIECE = 1 << 16  # bytes read at a time


class FileOperations:
    """lmdb's files, small ones beside them, and their folder. All raise OSError or lmdb.Error."""

    def open(self, path, read_only):
        """An environment that syncs only when it is told to."""
        return lmdb.open(
            path, map_size=MAP, subdir=False, lock=False, readonly=read_only, readahead=False, sync=False
        )

    def commit(self, env, rows):
        """Writes rows of bytes, or removes those that are None; nothing of it is sure before a sync."""
        with env.begin(write=True) as writing:
            for key, raw in rows.items():
                if raw is None:
                    writing.delete(key)
                else:
                    writing.put(key, raw)

    def sync(self, env):
        """What was committed, on disk when this ends."""
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

    def settle(self, path):
        """What a file that was found holds, or which files a folder has, on disk when this ends."""
        place = os.open(path, os.O_RDONLY)
        try:
            os.fsync(place)
        finally:
            os.close(place)
