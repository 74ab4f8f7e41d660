"""Rows on disk, by lmdb. A row is written whole, with a checksum, and synced before `put` ends."""
import json
import os
import zlib

import lmdb

MAP = 64 << 20  # bytes that a register may grow to


class Disk:
    """A folder with the register; used by one thread. Raises OSError or lmdb.Error."""

    def __init__(self, folder):
        os.makedirs(folder, exist_ok=True)
        self.env = lmdb.open(folder, map_size=MAP, lock=False, max_dbs=0, readahead=False)

    def rows(self):
        """All rows whose checksum holds, by key."""
        found = {}
        with self.env.begin() as reading:
            for key, raw in reading.cursor():
                told, text = raw[:8], bytes(raw[8:])
                if told == _sum(text):
                    found[bytes(key).decode()] = json.loads(text)
        return found

    def put(self, rows):
        with self.env.begin(write=True) as writing:
            for key, row in rows.items():
                text = json.dumps(row, separators=(",", ":")).encode()
                writing.put(key.encode(), _sum(text) + text)
        self.env.sync(True)

    def close(self):
        self.env.close()


def _sum(text):
    return b"%08x" % zlib.crc32(text)
