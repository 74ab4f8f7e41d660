"""The effect of a power loss on files: later writes than the last sync may be present, missing or torn."""

from __future__ import annotations

import os
import random
from enum import StrEnum

SECTOR_BYTES = 512
"""Disks usually write a sector completely or not at all, but the model tears sectors as well."""

NAME_LOST_PROBABILITY = 0.5
FILE_LOST_PROBABILITY = 0.3
REMOVAL_UNDONE_PROBABILITY = 0.5


class UnsyncedWrites(StrEnum):
    """The effect of a power loss on writes that were not synced."""

    KEPT = "all kept"
    DISCARDED = "all gone"
    MIXED = "mixed"


class DiskModel:
    """Tracks which contents and names of the files in one folder are durable.

    `durable_contents` are the contents as of each file's last sync, by name; `durable_names` are the files
    whose folder was synced after they were created.
    """

    def __init__(self) -> None:
        """Start with no durable files."""
        self.durable_contents: dict[str, bytes] = {}
        self.durable_names: set[str] = set()

    def lose_power(self, folder: str, random: random.Random, unsynced: UnsyncedWrites) -> None:
        """Apply a power loss to the folder; everything that remains is durable."""
        contents = _read_folder(folder)
        for name in sorted({*contents, *self.durable_contents}):
            content = contents.get(name)
            remaining = surviving_content(self.durable_contents.get(name), content, random, unsynced)
            lost = unsynced is UnsyncedWrites.DISCARDED or (
                unsynced is UnsyncedWrites.MIXED and random.random() < NAME_LOST_PROBABILITY
            )
            if name not in self.durable_names and (lost or content is None):
                remaining = None  # created, and perhaps removed, since the folder was last synced
            _replace_file(os.path.join(folder, name), remaining)
        self.durable_contents = _read_folder(folder)
        self.durable_names = set(self.durable_contents)


def surviving_content(
    synced: bytes | None, current: bytes | None, random: random.Random, unsynced: UnsyncedWrites
) -> bytes | None:
    """Return the content of a file after a power loss; None means that the file does not exist.

    `synced` is the content as of the last sync, `current` the content before the power loss.
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
    """Return `synced`, overwritten with some sectors of `current`, or with only the beginning of a sector."""
    length = random.choice((len(synced), len(current), max(len(synced), len(current))))
    content = bytearray(synced.ljust(length, b"\0")[:length])
    for start in range(0, length, SECTOR_BYTES):
        written = random.choice((0, SECTOR_BYTES, SECTOR_BYTES, random.randrange(SECTOR_BYTES)))
        part = current[start : start + written]
        content[start : start + len(part)] = part
    return bytes(content[:length])


def _read_folder(folder: str) -> dict[str, bytes]:
    """Return the contents of a folder's files by name; empty if the folder does not exist."""
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
