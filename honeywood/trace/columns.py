"""Columns of values to bytes and back (docs/trace-format.md, "Columns"). Pure, and without numpy: a front
that records has no room for it.

A column of whole numbers is stored as differences to the least of them, or of their steps, whichever needs
fewer bytes, in planes: all lowest bytes first, which compress well.
"""

import struct
import sys
from array import array
from itertools import accumulate, chain, repeat
from operator import sub

from honeywood.trace.schema import (
    ID,
    INT,
    INTS,
    MOST_LIST,
    MOST_TEXT,
    NUMBER,
    NUMBERS,
    WORD,
    WORDS,
    Unfit,
    Unreadable,
)

PLAIN, STEPS = range(2)
HEAD = struct.Struct("<BBqq")  # form, bytes a value, least (of values or steps), first value
WIDTHS = (1, "B"), (2, "H"), (4, "I"), (8, "Q")
LEAST, MOST = -(2**63), 2**63 - 1
MOST_VALUES = 1 << 24  # of one column: what a damaged or hostile file may make a reader hold


def planes(data, width):
    return b"".join(data[at::width] for at in range(width)) if width > 1 else data


def unplanes(data, width):
    whole = bytearray(len(data))
    size = len(data) // width
    for at in range(width):
        whole[at::width] = data[at * size : (at + 1) * size]
    return bytes(whole)


def little(values):
    if sys.byteorder == "big":
        values.byteswap()
    return values


def width_of(span):
    """Bytes for a figure from 0 to `span`; 16 where that is over 64 bits, as steps between figures may be."""
    return next((width for width, _ in WIDTHS if span < 1 << 8 * width), 16) if span else 0


def ints(values):
    if not values:
        return b""
    least, most, first = min(values), max(values), values[0]
    if least < LEAST or most > MOST:
        raise Unfit(f"a whole number over 64 bits: {least if least < LEAST else most}")
    form, width = PLAIN, width_of(most - least)
    # Steps of what fits a byte can only be better where they are all the same.
    if width > 1 or (width and values[1] - first == values[-1] - values[-2]):
        steps = list(map(sub, values[1:], values))
        low, high = min(steps), max(steps)
        if width_of(high - low) < width and LEAST <= low <= MOST:
            form, width, least, values = STEPS, width_of(high - low), low, steps
    head = HEAD.pack(form, width, least, first)
    if not width:
        return head
    code = dict(WIDTHS)[width]
    try:
        packed = array(code, map(sub, values, repeat(least)) if least else values)
    except TypeError as wrong:
        raise Unfit(f"not a whole number: {wrong}") from None
    return head + planes(little(packed).tobytes(), width)


def numbers(values):
    return planes(little(array("d", values)).tobytes(), 8)


def texts(values):
    for text in values:
        if len(text) > MOST_TEXT:
            raise Unfit(f"a text of {len(text)} characters, {MOST_TEXT} at the most")
    data = "".join(values).encode("utf-8", "surrogateescape")
    sizes = list(map(len, values))
    if len(data) != sum(sizes):
        sizes = [len(text.encode("utf-8", "surrogateescape")) for text in values]
    return ints(sizes) + data


def words(values):
    known = {word: at for at, word in enumerate(dict.fromkeys(values))}
    return struct.pack("<I", len(known)) + texts(list(known)) + ints(list(map(known.__getitem__, values)))


def lists(of):
    def pack(values):
        sizes = list(map(len, values))
        if sizes and max(sizes) > MOST_LIST:
            raise Unfit(f"a list of {max(sizes)}, {MOST_LIST} at the most")
        return ints(sizes) + of(list(chain.from_iterable(values)))

    return pack


PACK = {
    INT: ints,
    NUMBER: numbers,
    WORD: words,
    ID: texts,
    INTS: lists(ints),
    NUMBERS: lists(numbers),
    WORDS: lists(words),
}


def pack(type, values):
    """The bytes of a column; raises Unfit for values that no trace may hold."""
    try:
        return PACK[type](values)
    except (TypeError, OverflowError, UnicodeError, AttributeError) as wrong:
        raise Unfit(f"a value of the wrong type: {wrong}") from None


class Cursor:
    """Reads columns off bytes; what is not there, or not used, is an error."""

    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, size):
        data = self.data[self.at : self.at + size]
        if len(data) != size:
            raise Unreadable("a column is cut short")
        self.at += size
        return data

    def ints(self, count):
        if not 0 <= count <= MOST_VALUES:
            raise Unreadable(f"a column of {count} values")
        if not count:
            return []
        form, width, least, first = HEAD.unpack(self.take(HEAD.size))
        codes = dict(WIDTHS)
        if form not in (PLAIN, STEPS) or (width and width not in codes):
            raise Unreadable("a column of an unknown form")
        stored = count - (form == STEPS)
        if width:
            values = array(codes[width])
            values.frombytes(unplanes(self.take(stored * width), width))
            values = little(values).tolist()
        else:
            values = [0] * stored
        if least:
            values = [value + least for value in values]
        return list(accumulate(values, initial=first)) if form == STEPS else values

    def numbers(self, count):
        values = array("d")
        values.frombytes(unplanes(self.take(8 * count), 8))
        return little(values).tolist()

    def texts(self, count):
        sizes = self.ints(count)
        if sizes and min(sizes) < 0:
            raise Unreadable("a text of negative size")
        ends = list(accumulate(sizes, initial=0))
        data = self.take(ends[-1])
        if data.isascii():
            text = data.decode("ascii")
            return [text[a:b] for a, b in zip(ends, ends[1:])]
        return [data[a:b].decode("utf-8", "surrogateescape") for a, b in zip(ends, ends[1:])]

    def words(self, count):
        (size,) = struct.unpack("<I", self.take(4))
        if size > MOST_VALUES:
            raise Unreadable(f"a column of {size} words")
        known, places = self.texts(size), self.ints(count)
        if places and not 0 <= min(places) <= max(places) < size:
            raise Unreadable("a word that is not there")
        return [known[place] for place in places]

    def lists(self, of, count):
        sizes = self.ints(count)
        if sizes and min(sizes) < 0:
            raise Unreadable("a list of negative size")
        ends = list(accumulate(sizes, initial=0))
        if ends[-1] > MOST_VALUES:
            raise Unreadable(f"lists of {ends[-1]} items")
        values = of(self, ends[-1])
        return [tuple(values[a:b]) for a, b in zip(ends, ends[1:])]


READ = {INT: Cursor.ints, NUMBER: Cursor.numbers, WORD: Cursor.words, ID: Cursor.texts}
UNPACK = READ | {
    number: lambda cursor, count, of=READ[of]: cursor.lists(of, count)
    for number, of in ((INTS, INT), (NUMBERS, NUMBER), (WORDS, WORD))
}


def unpack(type, data, count):
    """The `count` values of a column; raises Unreadable where the bytes are none."""
    cursor = Cursor(data)
    try:
        values = UNPACK[type](cursor, count)
    except (struct.error, KeyError, ValueError, OverflowError, MemoryError) as wrong:
        raise Unreadable(f"a column that can't be read: {wrong}") from None
    if cursor.at != len(data):
        raise Unreadable("a column with more behind it")
    return values
