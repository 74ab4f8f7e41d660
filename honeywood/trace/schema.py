"""What stands in a trace: kinds of records and their fields. Free of I/O.

Figures of kinds, fields and field types stand in files and keep their meaning for ever. What is added raises
MINOR, which older readers pass over; what changes the meaning of anything there raises MAJOR, which they
refuse.
"""

from collections import namedtuple

MAJOR, MINOR = 1, 1
# Types of fields: whole number, 64-bit float, one of few texts, a text of its own; and lists of the first
# three.
INT, NUMBER, WORD, ID, INTS, NUMBERS, WORDS = range(1, 8)
EMPTY = {INT: 0, NUMBER: 0.0, WORD: "", ID: "", INTS: (), NUMBERS: (), WORDS: ()}  # where a field is absent

Field = namedtuple("Field", "number name type")


class Kind:
    """A kind of record. `input` tells the decisions something (replay plays it); the others are what they
    did. `at` is the place of each field in a record's values."""

    def __init__(self, number, name, input, *fields):
        self.number, self.name, self.input = number, name, input
        self.fields = tuple(Field(at, *field.split(":")) for at, field in enumerate(fields, 1))
        self.fields = tuple(f._replace(type=TYPES[f.type]) for f in self.fields)
        self.at = {field.name: place for place, field in enumerate(self.fields)}  # place in a record's values
        self.empty = tuple(EMPTY[field.type] for field in self.fields)

    def value(self, values, name):
        return values[self.at[name]] if name in self.at else None


TYPES = {
    "int": INT,
    "number": NUMBER,
    "word": WORD,
    "id": ID,
    "ints": INTS,
    "numbers": NUMBERS,
    "words": WORDS,
}

TAKEN = Kind(
    1,
    "taken",
    True,
    "rpc:int",
    "id:id",
    "method:word",
    "customer:word",
    "parcel:id",
    "client:word",
    "waited:int",
    "deadline:int",
    "work:int",
    "repeat:int",
)
PICK = Kind(
    2,
    "pick",
    False,
    "rpc:int",
    "number:int",
    "server:word",
    "build:int",
    "method:word",
    "until:int",
    "drawn:words",
    "bars:ints",
    "asked:int",
)
RESULT = Kind(
    3,
    "result",
    True,
    "rpc:int",
    "number:int",
    "server:word",
    "build:int",
    "method:word",
    "result:int",
    "latency:int",
    "over:int",
    "load:numbers",
)
ANSWER = Kind(
    4,
    "answer",
    False,
    "rpc:int",
    "method:word",
    "outcome:int",
    "why:int",
    "wait:int",
    "latency:int",
    "drawn:words",
    "bars:ints",
)
LEFT = Kind(5, "left", True, "rpc:int", "method:word")
NEWS = Kind(
    6,
    "news",
    True,
    "build:int",
    "step:int",
    "cap:number",
    "standing:int",
    "age:int",
    "result:int",
    "reply:int",
)
LIST = Kind(
    7,
    "list",
    True,
    "revision:int",
    "whole:int",
    "servers:words",
    "builds:ints",
    "statuses:ints",
    "starts:ints",
    "zones:ints",
    "cells:ints",
    "scales:numbers",
)
VOTE = Kind(
    8,
    "vote",
    False,
    "build:int",
    "step:int",
    "verdict:int",
    "tests:words",
    "ps:numbers",
    "seen:numbers",
    "of:numbers",
    "expected:numbers",
)
TALLY = Kind(9, "tally", True, "build:int", "method:word", "failed:int", "ended:int", "mean:int", "age:int")
WRONG = Kind(10, "wrong", True, "server:word", "method:word")
PROBE = Kind(11, "probe", True, "server:word", "result:int", "latency:int", "load:numbers")
LOOK = Kind(12, "look", True)
LIST_FAILED = Kind(13, "list_failed", True)
SAID = Kind(14, "said", False, "text:id")
DROPPED = Kind(15, "dropped", False, "records:int", "rpcs:int", "why:word")
BEGAN = Kind(16, "began", True)
COMING = Kind(17, "coming", True, "rpc:int", "number:int", "server:word", "method:word")  # since 1.1

KINDS = {
    kind.number: kind
    for kind in (
        TAKEN,
        PICK,
        RESULT,
        ANSWER,
        LEFT,
        NEWS,
        LIST,
        VOTE,
        TALLY,
        WRONG,
        PROBE,
        LOOK,
        LIST_FAILED,
        SAID,
        DROPPED,
        BEGAN,
        COMING,
    )
}
# Final answers, in ANSWER.outcome.
ANSWERED_OK, PUSHED_BACK, ABORTED = range(3)
MOST_TEXT = 4096  # characters of a text; a longer one is refused, not cut: it would match others
MOST_LIST = 100_000  # items of a list

# A record: when (tenths of a ms since 1970 by its front's clock), which of the file's sources, kind, values.
Record = namedtuple("Record", "time source kind values")


class Unfit(ValueError):
    """A record that no trace may hold."""


class Unreadable(Exception):
    """A file, or a part of one, that is no trace, is damaged, or is of a version that is not spoken here."""


class Newer(Unreadable):
    """A file of a newer major version."""
