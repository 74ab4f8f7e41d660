"""Selects the trace files to delete, by age and total size."""

from __future__ import annotations

from typing import NamedTuple

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable


class TraceFile(NamedTuple):
    """A recorder's file; `written_at` is its last write, in tenths of a millisecond since 1970."""

    name: str
    size: int
    written_at: int


def files_to_delete(
    files: Iterable[TraceFile], now: int, max_bytes: int, max_age: int, reserved: int
) -> list[str]:
    """Return the names of the files to delete, oldest first; `files` are all but the open one.

    The remaining files and `reserved` bytes fit into `max_bytes`, and none of them is older than `max_age`.
    """
    by_age = sorted(files, key=lambda file: (file.written_at, file.name))
    deleted = [file for file in by_age if now - file.written_at > max_age]
    kept = [file for file in by_age if now - file.written_at <= max_age]
    total = sum(file.size for file in kept) + reserved
    while kept and total > max_bytes:
        deleted.append(kept.pop(0))
        total -= deleted[-1].size
    return [file.name for file in deleted]
