"""What a loss of power leaves of files: each as of its last sync, or with later writes present, or torn."""

from __future__ import annotations

import os
import random
from enum import StrEnum

SECTOR_BYTES = 512
"""Usually written completely or not at all, but not even that is relied on."""

NAME_LOST_PROBABILITY = 0.5
FILE_LOST_PROBABILITY = 0.3
REMOVAL_UNDONE_PROBABILITY = 0.5


class UnsyncedWrites(StrEnum):
    """What a loss of power does to writes that were not synced."""

    KEPT = "all kept"
    DISCARDED = "all gone"
    MIXED = "mixed"


class DiskModel:
    """What is durable of the files in one folder.

    `durable_contents` are the contents as of the last syncs, by name; `durable_names` the files whose folder
    was synced since they were made.
    """

    def __init__(self) -> None:
        """Start with nothing durable."""
        self.durable_contents: dict[str, bytes] = {}
        self.durable_names: set[str] = set()

    def lose_power(self, folder: str, random: random.Random, unsynced: UnsyncedWrites) -> None:
        """Leave the folder as a loss of power leaves it; what is left is durable."""
        contents = _read_folder(folder)
        for name in sorted({*contents, *self.durable_contents}):
            content = contents.get(name)
            left = surviving_content(self.durable_contents.get(name), content, random, unsynced)
            lost = unsynced is UnsyncedWrites.DISCARDED or (
                unsynced is UnsyncedWrites.MIXED and random.random() < NAME_LOST_PROBABILITY
            )
            if name not in self.durable_names and (lost or content is None):
                left = None  # made, and perhaps removed, since the folder was last synced
            _replace_file(os.path.join(folder, name), left)
        self.durable_contents = _read_folder(folder)
        self.durable_names = set(self.durable_contents)


def surviving_content(
    synced: bytes | None, current: bytes | None, random: random.Random, unsynced: UnsyncedWrites
) -> bytes | None:
    """Return what a loss of power leaves of a file; None stands for no file.

    `synced` is the content as of the last sync, `current` the present one.
    """
    if unsynced is UnsyncedWrites.DISCARDED or synced == current:
        return synced
    if current is None:
        is_undone = unsynced is UnsyncedWrites.MIXED and random.random() < REMOVAL_UNDONE_PROBABILITY
        return synced if is_undone else None
    if unsynced is UnsyncedWrites.KEPT:
        return current
    if synced is None and random.random() < FILE_LOST_PROBABILITY:
        return None
    return _torn(synced or b"", current, random)


def _torn(synced: bytes, current: bytes, random: random.Random) -> bytes:
    """Return `synced` with some sectors of `current`, or the beginnings of some, written over it."""
    length = random.choice((len(synced), len(current), max(len(synced), len(current))))
    content = bytearray(synced.ljust(length, b"\0")[:length])
    for start in range(0, length, SECTOR_BYTES):
        written = random.choice((0, SECTOR_BYTES, SECTOR_BYTES, random.randrange(SECTOR_BYTES)))
        part = current[start : start + written]
        content[start : start + len(part)] = part
    return bytes(content[:length])


def _read_folder(folder: str) -> dict[str, bytes]:
    """Return the contents of a folder's files by name; empty where there is no folder."""
    if not os.path.isdir(folder):
        return {}
    return {name: _read_file(os.path.join(folder, name)) for name in os.listdir(folder)}


def _read_file(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def _replace_file(path: str, content: bytes | None) -> None:
    if content is not None:
        with open(path, "wb") as file:
            file.write(content)
    elif os.path.exists(path):
        os.unlink(path)
