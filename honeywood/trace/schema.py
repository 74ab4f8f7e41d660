"""The kinds of records in a trace and their fields. Does no I/O.

The numbers of kinds, fields and field types are stored in files and never change their meaning. An addition
raises MINOR: older readers skip what they don't know. A change of meaning raises MAJOR: older readers refuse
the file.

The constants of kinds and field types are named for what they mean; the names in the table are the ones that
the tools print.
"""

from collections import namedtuple

MAJOR, MINOR = 1, 1
# Field types: integer, 64-bit float, text out of few distinct ones (stored once in a dictionary), text that
# seldom repeats; and lists of the first three.
INT, FLOAT, DICTIONARY_TEXT, PLAIN_TEXT, INTS, FLOATS, DICTIONARY_TEXTS = range(1, 8)
# Values of absent fields.
DEFAULTS = {
    INT: 0,
    FLOAT: 0.0,
    DICTIONARY_TEXT: "",
    PLAIN_TEXT: "",
    INTS: (),
    FLOATS: (),
    DICTIONARY_TEXTS: (),
}

Field = namedtuple("Field", "number name type")


class Kind:
    """A kind of record.

    Records with `is_input` are inputs of the balancer's decisions, which replay passes to them again; the
    others record what the decisions did. `positions` maps a field's name to its index in a record's values,
    `defaults` are the values of a record without any field.
    """

    def __init__(self, number, name, is_input, *fields):
        self.number, self.name, self.is_input = number, name, is_input
        self.fields = tuple(Field(index, *field.split(":")) for index, field in enumerate(fields, 1))
        self.fields = tuple(f._replace(type=TYPES[f.type]) for f in self.fields)
        self.positions = {field.name: position for position, field in enumerate(self.fields)}
        self.defaults = tuple(DEFAULTS[field.type] for field in self.fields)

    def value(self, values, name):
        """Return a field of a record's values, None where the kind has no such field."""
        return values[self.positions[name]] if name in self.positions else None


TYPES = {
    "int": INT,
    "number": FLOAT,
    "word": DICTIONARY_TEXT,
    "id": PLAIN_TEXT,
    "ints": INTS,
    "numbers": FLOATS,
    "words": DICTIONARY_TEXTS,
}

ARRIVAL = Kind(
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
ATTEMPT = Kind(
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
CLIENT_DISCONNECTED = Kind(5, "left", True, "rpc:int", "method:word")
RELEASE_UPDATE = Kind(
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
SERVER_LIST = Kind(
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
PLATFORM_COUNTS = Kind(
    9, "tally", True, "build:int", "method:word", "failed:int", "ended:int", "mean:int", "age:int"
)
INCORRECT_ANSWER = Kind(10, "wrong", True, "server:word", "method:word")
PROBE = Kind(11, "probe", True, "server:word", "result:int", "latency:int", "load:numbers")
TIMER = Kind(12, "look", True)
SERVER_LIST_FAILED = Kind(13, "list_failed", True)
LOG_LINE = Kind(14, "said", False, "text:id")
DROPPED = Kind(15, "dropped", False, "records:int", "rpcs:int", "why:word")
STARTED = Kind(16, "began", True)
# Since version 1.1.
RESPONSE_STARTED = Kind(17, "coming", True, "rpc:int", "number:int", "server:word", "method:word")

KINDS = {
    kind.number: kind
    for kind in (
        ARRIVAL,
        ATTEMPT,
        RESULT,
        ANSWER,
        CLIENT_DISCONNECTED,
        RELEASE_UPDATE,
        SERVER_LIST,
        VOTE,
        PLATFORM_COUNTS,
        INCORRECT_ANSWER,
        PROBE,
        TIMER,
        SERVER_LIST_FAILED,
        LOG_LINE,
        DROPPED,
        STARTED,
        RESPONSE_STARTED,
    )
}
# Values of ANSWER.outcome, the final answer to an RPC.
ANSWERED_OK, REJECTED, ABORTED = range(3)
MAX_TEXT_CHARACTERS = 4096  # longer texts are refused: truncated ones could equal each other
MAX_LIST_ITEMS = 100_000

# time: tenths of a ms since 1970 by the balancer's clock; source: index into the file's sources; kind: its
# number.
Record = namedtuple("Record", "time source kind values")


class InvalidRecord(ValueError):
    """A record that can't be stored: a value of the wrong type or out of bounds."""


class UnreadableTrace(Exception):
    """A file or a part of it that is not a trace, is damaged, or has an unsupported version."""


class NewerVersion(UnreadableTrace):
    """A file with a newer major version than this program reads."""
