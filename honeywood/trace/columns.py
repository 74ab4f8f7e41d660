"""Encodes and decodes columns of values (docs/trace-format.md, "Columns"). Does no I/O.

It does without numpy, which takes too much memory for a balancer that records.

A column of integers is stored as differences to its minimum, or as differences (to their minimum) between
successive values, whichever needs fewer bytes. The bytes are stored in planes, all lowest bytes first, which
compress well.
"""

import struct
import sys
from array import array
from itertools import accumulate, chain, repeat
from operator import sub

from honeywood.trace.schema import (
    DICTIONARY_TEXT,
    DICTIONARY_TEXTS,
    FLOAT,
    FLOATS,
    INT,
    INTS,
    MAX_LIST_ITEMS,
    MAX_TEXT_CHARACTERS,
    PLAIN_TEXT,
    InvalidRecord,
    UnreadableTrace,
)

PLAIN, DELTAS = range(2)
COLUMN_START = struct.Struct("<BBqq")  # form, bytes per value, minimum (of values or deltas), first value
WIDTHS = (1, "B"), (2, "H"), (4, "I"), (8, "Q")
INT64_MIN, INT64_MAX = -(2**63), 2**63 - 1
MAX_VALUES = 1 << 24  # in one column: bounds the memory that a damaged or hostile file can claim


def to_planes(data, width):
    """Return the bytes reordered: the lowest byte of each value, then the next one, and so on."""
    return b"".join(data[position::width] for position in range(width)) if width > 1 else data


def from_planes(data, width):
    """Undo to_planes()."""
    interleaved = bytearray(len(data))
    size = len(data) // width
    for position in range(width):
        interleaved[position::width] = data[position * size : (position + 1) * size]
    return bytes(interleaved)


def to_little_endian(values):
    if sys.byteorder == "big":
        values.byteswap()
    return values


def bytes_for(span):
    """Return the bytes needed for integers from 0 to `span`.

    Returns 16 where that is over 64 bits, as differences between 64-bit integers may be.
    """
    return next((width for width, _ in WIDTHS if span < 1 << 8 * width), 16) if span else 0


def pack_ints(values):
    if not values:
        return b""
    minimum, maximum, first = min(values), max(values), values[0]
    if minimum < INT64_MIN or maximum > INT64_MAX:
        raise InvalidRecord(f"an integer over 64 bits: {minimum if minimum < INT64_MIN else maximum}")
    form, width = PLAIN, bytes_for(maximum - minimum)
    # Deltas of values that fit a byte are only smaller where they are all the same.
    if width > 1 or (width and values[1] - first == values[-1] - values[-2]):
        deltas = list(map(sub, values[1:], values))
        minimum_delta, maximum_delta = min(deltas), max(deltas)
        if bytes_for(maximum_delta - minimum_delta) < width and INT64_MIN <= minimum_delta <= INT64_MAX:
            form, width, minimum, values = (
                DELTAS,
                bytes_for(maximum_delta - minimum_delta),
                minimum_delta,
                deltas,
            )
    head = COLUMN_START.pack(form, width, minimum, first)
    if not width:
        return head
    type_code = dict(WIDTHS)[width]
    try:
        packed = array(type_code, map(sub, values, repeat(minimum)) if minimum else values)
    except TypeError as error:
        raise InvalidRecord(f"not an integer: {error}") from None
    return head + to_planes(to_little_endian(packed).tobytes(), width)


def pack_floats(values):
    return to_planes(to_little_endian(array("d", values)).tobytes(), 8)


def pack_texts(values):
    for text in values:
        if len(text) > MAX_TEXT_CHARACTERS:
            raise InvalidRecord(f"a text of {len(text)} characters, {MAX_TEXT_CHARACTERS} at most")
    data = "".join(values).encode("utf-8", "surrogateescape")
    sizes = list(map(len, values))
    if len(data) != sum(sizes):
        sizes = [len(text.encode("utf-8", "surrogateescape")) for text in values]
    return pack_ints(sizes) + data


def pack_dictionary_texts(values):
    dictionary = {text: position for position, text in enumerate(dict.fromkeys(values))}
    return (
        struct.pack("<I", len(dictionary))
        + pack_texts(list(dictionary))
        + pack_ints(list(map(dictionary.__getitem__, values)))
    )


def pack_lists(pack_items):
    def pack(values):
        sizes = list(map(len, values))
        if sizes and max(sizes) > MAX_LIST_ITEMS:
            raise InvalidRecord(f"a list of {max(sizes)} items, {MAX_LIST_ITEMS} at most")
        return pack_ints(sizes) + pack_items(list(chain.from_iterable(values)))

    return pack


PACK = {
    INT: pack_ints,
    FLOAT: pack_floats,
    DICTIONARY_TEXT: pack_dictionary_texts,
    PLAIN_TEXT: pack_texts,
    INTS: pack_lists(pack_ints),
    FLOATS: pack_lists(pack_floats),
    DICTIONARY_TEXTS: pack_lists(pack_dictionary_texts),
}


def pack(type, values):
    """Return the bytes of a column; raises InvalidRecord for values that can't be stored."""
    try:
        return PACK[type](values)
    except (TypeError, OverflowError, UnicodeError, AttributeError) as error:
        raise InvalidRecord(f"a value of the wrong type: {error}") from None


class Cursor:
    """Decodes columns from bytes; raises UnreadableTrace where bytes are missing."""

    def __init__(self, data):
        self.data, self.offset = data, 0

    def take(self, size):
        data = self.data[self.offset : self.offset + size]
        if len(data) != size:
            raise UnreadableTrace("a truncated column")
        self.offset += size
        return data

    def ints(self, count):
        if not 0 <= count <= MAX_VALUES:
            raise UnreadableTrace(f"a column of {count} values")
        if not count:
            return []
        form, width, minimum, first = COLUMN_START.unpack(self.take(COLUMN_START.size))
        type_codes = dict(WIDTHS)
        if form not in (PLAIN, DELTAS) or (width and width not in type_codes):
            raise UnreadableTrace("a column of an unknown form")
        stored = count - (form == DELTAS)
        if width:
            values = array(type_codes[width])
            values.frombytes(from_planes(self.take(stored * width), width))
            values = to_little_endian(values).tolist()
        else:
            values = [0] * stored
        if minimum:
            values = [value + minimum for value in values]
        return list(accumulate(values, initial=first)) if form == DELTAS else values

    def floats(self, count):
        values = array("d")
        values.frombytes(from_planes(self.take(8 * count), 8))
        return to_little_endian(values).tolist()

    def texts(self, count):
        sizes = self.ints(count)
        if sizes and min(sizes) < 0:
            raise UnreadableTrace("a text of negative size")
        ends = list(accumulate(sizes, initial=0))
        data = self.take(ends[-1])
        if data.isascii():
            text = data.decode("ascii")
            return [text[a:b] for a, b in zip(ends, ends[1:])]
        return [data[a:b].decode("utf-8", "surrogateescape") for a, b in zip(ends, ends[1:])]

    def dictionary_texts(self, count):
        (size,) = struct.unpack("<I", self.take(4))
        if size > MAX_VALUES:
            raise UnreadableTrace(f"a dictionary of {size} texts")
        dictionary, positions = self.texts(size), self.ints(count)
        if positions and not 0 <= min(positions) <= max(positions) < size:
            raise UnreadableTrace("a text outside of the dictionary")
        return [dictionary[position] for position in positions]

    def lists(self, unpack_items, count):
        sizes = self.ints(count)
        if sizes and min(sizes) < 0:
            raise UnreadableTrace("a list of negative size")
        ends = list(accumulate(sizes, initial=0))
        if ends[-1] > MAX_VALUES:
            raise UnreadableTrace(f"lists of {ends[-1]} items")
        values = unpack_items(self, ends[-1])
        return [tuple(values[a:b]) for a, b in zip(ends, ends[1:])]


UNPACK_SCALAR = {
    INT: Cursor.ints,
    FLOAT: Cursor.floats,
    DICTIONARY_TEXT: Cursor.dictionary_texts,
    PLAIN_TEXT: Cursor.texts,
}
UNPACK = UNPACK_SCALAR | {
    number: lambda cursor, count, unpack_items=UNPACK_SCALAR[item_type]: cursor.lists(unpack_items, count)
    for number, item_type in ((INTS, INT), (FLOATS, FLOAT), (DICTIONARY_TEXTS, DICTIONARY_TEXT))
}


def unpack(type, data, count):
    """Return the `count` values of a column; raises UnreadableTrace where the bytes are not a column."""
    cursor = Cursor(data)
    try:
        values = UNPACK[type](cursor, count)
    except (struct.error, KeyError, ValueError, OverflowError, MemoryError) as error:
        raise UnreadableTrace(f"a column that can't be read: {error}") from None
    if cursor.offset != len(data):
        raise UnreadableTrace("a column with trailing bytes")
    return values
