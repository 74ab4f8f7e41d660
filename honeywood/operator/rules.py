"""What may stand in an operator file: its blocks, their keys, units, defaults and checks. Free of I/O.

A block that stands in the file switches its subsystem on. Unknown blocks and keys are errors: a misspelt
bound that is silently passed over would be found on the day it is needed.
"""
import re
from difflib import get_close_matches
from types import SimpleNamespace

SIZES = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "TB": 10**12,
         "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "TiB": 2**40}
TIMES = {"ms": 10, "s": 10_000, "m": 600_000, "h": 36_000_000, "d": 864_000_000}  # in tenths of a ms
FIGURE = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\Z", re.ASCII)
FIELD = re.compile(r"[a-z0-9-]{1,64}\Z", re.ASCII)


class BadFile(ValueError):
    """An operator file that cannot be used; the text names file, block and key."""


def with_unit(value, units, what):
    """A figure with its unit, as a whole number of the smallest.

    >>> with_unit("1.5MB", SIZES, "size"), with_unit("2s", TIMES, "time")
    (1500000, 20000)
    """
    found = FIGURE.match(value) if isinstance(value, str) else None
    if not found or found[2] not in units:
        raise ValueError(f'is no {what}, such as "{3 if units is TIMES else 64}{list(units)[1]}" '
                         f"(units: {', '.join(units)})")
    return round(float(found[1]) * units[found[2]])


class Key:
    """One key: how its value is read, what it is where it is absent (None: it must stand there), its
    bounds."""

    def __init__(self, read, otherwise, least=None, most=None):
        self.read, self.otherwise, self.least, self.most = read, otherwise, least, most

    def value(self, raw):
        """Raises ValueError, worded to follow the key's name."""
        value = self.read(raw)
        if self.least is not None and value < self.read(self.least):
            raise ValueError(f"is {raw!r}, under the least of {self.least}")
        if self.most is not None and value > self.read(self.most):
            raise ValueError(f"is {raw!r}, over the most of {self.most}")
        return value


def size(raw):
    return with_unit(raw, SIZES, "size")


def time(raw):
    return with_unit(raw, TIMES, "time")


def text(raw):
    if not isinstance(raw, str) or not raw:
        raise ValueError(f"is {raw!r:.60}, not a text")
    return raw


def count(raw):
    if type(raw) is not int or raw < 0:
        raise ValueError(f"is {raw!r:.60}, not a whole number from 0 on")
    return raw


def flag(raw):
    if not isinstance(raw, bool):
        raise ValueError(f"is {raw!r:.60}, not true or false")
    return raw


def fields(raw):
    """Names of request fields, in lower case."""
    if not isinstance(raw, list) or not all(isinstance(name, str) and FIELD.match(name) for name in raw):
        raise ValueError(f"is {raw!r:.60}, not a list of field names in lower case")
    return raw


def choice(*words):
    def read(raw):
        if raw not in words:
            raise ValueError(f"is {raw!r:.60}, not one of {', '.join(words)}")
        return raw
    return read


BLOCKS = {
    "trace": {
        "folder": Key(text, None),
        "most_bytes": Key(size, "1GB", "1MB"),
        "longest_age": Key(time, "14d", "1m"),
        "file_bytes": Key(size, "64MB", "64KB"),
        "file_age": Key(time, "1h", "1s"),
        "block_age": Key(time, "1s", "10ms", "1m"),
        "sync": Key(choice("never", "file", "block"), "file"),
        "queue": Key(count, 20_000, 100, 1_000_000),
        "customer_fields": Key(fields, ["x-tenant-id"]),
        "parcel_fields": Key(fields, ["x-route-key", "idempotency-key"]),
    },
}


def near(name, names):
    found = get_close_matches(name, names, 1, 0.5)
    return f"; the nearest known is {found[0]!r}" if found else f"; known are {', '.join(names)}"


def checked(raw, path, blocks=BLOCKS):
    """{block: its values, by key} of what was read: a dict of lists of dicts, one list a block name. Sizes
    are bytes, times tenths of a millisecond. Raises BadFile."""
    found = {}
    for name, bodies in raw.items():
        if name not in blocks:
            raise BadFile(f"{path}: {name}: unknown block{near(name, list(blocks))}")
        if not isinstance(bodies, list) or not all(isinstance(body, dict) for body in bodies):
            raise BadFile(f"{path}: {name}: is a value, not a block: write {name} {{ ... }}")
        if len(bodies) > 1:
            raise BadFile(f"{path}: {name}: stands there {len(bodies)} times")
        found[name] = block(bodies[0], f"{path}: {name}", blocks[name])
    return found


def block(body, path, keys):
    for name in body:
        if name not in keys:
            raise BadFile(f"{path}: {name}: unknown key{near(name, list(keys))}")
    values = {}
    for name, key in keys.items():
        if name not in body and key.otherwise is None:
            raise BadFile(f"{path}: {name}: missing")
        try:
            values[name] = key.value(body.get(name, key.otherwise))
        except ValueError as wrong:
            raise BadFile(f"{path}: {name}: {wrong}") from None
    return values


class Operator:
    """What an operator file switches on: `block(name)` has its values as attributes, or is None where off."""

    def __init__(self, values):
        self.values = values

    def block(self, name):
        return SimpleNamespace(**self.values[name]) if name in self.values else None


COMPILED = 1                   # of the compiled form; another is refused


def compiled(values):
    return {"honeywood_operator": COMPILED, "blocks": values}


def from_compiled(raw, path, blocks=BLOCKS):
    """The values of a compiled file, which another version may have written: each key must be known here, and
    none may lack. They were checked when it was compiled."""
    if not isinstance(raw, dict) or raw.get("honeywood_operator") != COMPILED:
        raise BadFile(f"{path}: compiled by another version: compile it anew")
    found = raw.get("blocks")
    for name, values in found.items() if isinstance(found, dict) else [("blocks", None)]:
        if not isinstance(values, dict) or set(values) != set(blocks.get(name, ())):
            raise BadFile(f"{path}: {name}: compiled by another version: compile it anew")
    return found
