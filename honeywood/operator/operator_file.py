"""The content of an operator file: its blocks, their keys, defaults and validation. Does no I/O.

A block in the file switches its subsystem on. Unknown blocks and keys are errors: if a misspelt bound were
ignored, nobody would notice before the bound is needed.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from difflib import get_close_matches

from honeywood.operator.keys import Key, choice, count, duration, field_names, size, text

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

COMPILED_VERSION = 1  # of the compiled form; any other version is rejected
VERSION_KEY, BLOCKS_KEY = "honeywood_operator", "blocks"
BLOCKS = {
    "trace": {
        "folder": Key(text, None),
        "most_bytes": Key(size, "1GB", "1MB"),
        "longest_age": Key(duration, "14d", "1m"),
        "file_bytes": Key(size, "64MB", "64KB"),
        "file_age": Key(duration, "1h", "1s"),
        "block_age": Key(duration, "1s", "10ms", "1m"),
        "sync": Key(choice("never", "file", "block"), "file"),
        "queue": Key(count, 20_000, 100, 1_000_000),
        "customer_fields": Key(field_names, ["x-tenant-id"]),
        "parcel_fields": Key(field_names, ["x-route-key", "idempotency-key"]),
    },
}


class InvalidOperatorFile(ValueError):  # noqa: N818 - named for what went wrong
    """An operator file that cannot be used; the text names the file, the block and the key."""


@dataclass(frozen=True, slots=True)
class TraceBlock:
    """Where and how a balancer records a trace. The attributes have the names of the block's keys."""

    folder: str
    most_bytes: int  # the maximum total size of the files in the folder
    longest_age: int  # older files are deleted; in tenths of a millisecond, like all ages
    file_bytes: int
    file_age: int
    block_age: int
    sync: str  # when to sync to disk: "never", after each "file" or after each "block"
    queue: int  # the maximum number of records that wait to be written
    customer_fields: list[str]  # header fields; the first one present in a request names the customer
    parcel_fields: list[str]


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The subsystems that a file switches on; None if off."""

    trace: TraceBlock | None = None


def parse(raw: Mapping[str, Any], path: str) -> OperatorFile:
    """Validate the blocks of the file at `path`, given as {block: [{key: value}]}, and add the defaults.

    Raises:
        InvalidOperatorFile: a block or key is unknown, missing, repeated or has an invalid value.
    """
    blocks = {}
    for name, bodies in raw.items():
        if name not in BLOCKS:
            raise InvalidOperatorFile(f"{path}: {name}: unknown block{_nearest(name, list(BLOCKS))}")
        if not isinstance(bodies, list) or not all(isinstance(body, dict) for body in bodies):
            raise InvalidOperatorFile(f"{path}: {name}: is a value, not a block: write {name} {{ ... }}")
        if len(bodies) > 1:
            raise InvalidOperatorFile(f"{path}: {name}: appears {len(bodies)} times")
        blocks[name] = _parse_block(bodies[0], f"{path}: {name}", BLOCKS[name])
    return _operator_file(blocks)


def compiled(file: OperatorFile) -> dict[str, Any]:
    """Return the compiled form, to be written as JSON. It can be read without an HCL library."""
    blocks = {"trace": asdict(file.trace)} if file.trace else {}
    return {VERSION_KEY: COMPILED_VERSION, BLOCKS_KEY: blocks}


def from_compiled(raw: Any, path: str) -> OperatorFile:
    """Read the compiled form, which another version may have written.

    Exactly the known keys must be there. Their values were validated when the file was compiled.

    Raises:
        InvalidOperatorFile: another version has compiled the file.
    """
    if not isinstance(raw, dict) or raw.get(VERSION_KEY) != COMPILED_VERSION:
        raise InvalidOperatorFile(f"{path}: compiled by another version: compile it again")
    blocks = raw.get(BLOCKS_KEY)
    for name, values in blocks.items() if isinstance(blocks, dict) else [(BLOCKS_KEY, None)]:
        if not isinstance(values, dict) or set(values) != set(BLOCKS.get(name, ())):
            raise InvalidOperatorFile(f"{path}: {name}: compiled by another version: compile it again")
    return _operator_file(blocks)


def _operator_file(blocks: Any) -> OperatorFile:
    return OperatorFile(**{"trace": TraceBlock(**blocks["trace"])} if "trace" in blocks else {})


def _parse_block(body: Mapping[str, Any], path: str, keys: Mapping[str, Key]) -> dict[str, Any]:
    for name in body:
        if name not in keys:
            raise InvalidOperatorFile(f"{path}: {name}: unknown key{_nearest(name, list(keys))}")
    values = {}
    for name, key in keys.items():
        if name not in body and key.default is None:
            raise InvalidOperatorFile(f"{path}: {name}: missing")
        try:
            values[name] = key.value(body.get(name, key.default))
        except ValueError as error:
            raise InvalidOperatorFile(f"{path}: {name}: {error}") from None
    return values


def _nearest(name: str, known: list[str]) -> str:
    """Return the end of a message about an unknown name: the closest known name, or all known names."""
    matches = get_close_matches(name, known, 1, 0.5)
    return f"; the closest known is {matches[0]!r}" if matches else f"; known are {', '.join(known)}"
