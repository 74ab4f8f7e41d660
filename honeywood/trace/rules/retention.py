"""Which trace files are deleted, by age and by bytes."""

from __future__ import annotations

from typing import NamedTuple

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable


class TraceFile(NamedTuple):
    """A file that a recorder named; when it was written last, in tenths of a millisecond since 1970."""

    name: str
    size: int
    written_at: int


def files_to_delete(
    files: Iterable[TraceFile], now: int, max_bytes: int, max_age: int, reserved: int
) -> list[str]:
    """The names of the files to be deleted, oldest first; `files` are all but the one that is open.

    Those left and `reserved` bytes more are within `max_bytes`, and none is older than `max_age`.
    """
    by_age = sorted(files, key=lambda file: (file.written_at, file.name))
    deleted = [file for file in by_age if now - file.written_at > max_age]
    kept = [file for file in by_age if now - file.written_at <= max_age]
    total = sum(file.size for file in kept) + reserved
    while kept and total > max_bytes:
        deleted.append(kept.pop(0))
        total -= deleted[-1].size
    return [file.name for file in deleted]
