"""What of a trace one carrier may be given. docs/design/trace.md, "The adversary", says against whom.

An export has a carrier's own RPCs and what the platform tells everybody, and of those only the fields named
here. What depends on the traffic of others is left out, not blurred: two traces that differ in nothing but
what other carriers did give the same export.
"""

import hashlib

from honeywood.trace.schema import ANSWER, EMPTY, LEFT, NEWS, PICK, RESULT, TAKEN, Record

KEY_BYTES, HASH_BYTES = 32, 12
WITHHELD = 255  # a reason that tells of the front's load
KEEP, HASH, RENUMBER, REASON = "keep", "hash", "renumber", "reason"
# Any field that is not named is dropped: also those that newer versions add. Waits for the front, loads, what
# was drawn and what barred it, votes and tallies all move with the traffic of others; addresses and texts go
# too.
TREATED = {
    TAKEN.number: {
        "rpc": RENUMBER,
        "id": HASH,
        "method": KEEP,
        "customer": HASH,
        "parcel": HASH,
        "deadline": KEEP,
        "work": KEEP,
        "repeat": KEEP,
    },
    PICK.number: {"rpc": RENUMBER, "number": KEEP, "server": HASH, "build": KEEP, "method": KEEP},
    RESULT.number: {
        "rpc": RENUMBER,
        "number": KEEP,
        "server": HASH,
        "build": KEEP,
        "method": KEEP,
        "result": KEEP,
        "latency": KEEP,
    },
    ANSWER.number: {
        "rpc": RENUMBER,
        "method": KEEP,
        "outcome": KEEP,
        "why": REASON,
        "wait": KEEP,
        "latency": KEEP,
    },
    LEFT.number: {"rpc": RENUMBER, "method": KEEP},
    NEWS.number: {"build": KEEP, "step": KEEP, "standing": KEEP},
}
OWN_REASONS = {0, 3, 4}  # ok, no server that might be sent to, its own soft deadline


class BadKey(ValueError):
    """A key that can't be used."""


def derived(master, carrier):
    """The carrier's own key: exports of two carriers do not match each other, two of one carrier do."""
    if len(master) < KEY_BYTES:
        raise BadKey(f"the key has {len(master)} bytes; {KEY_BYTES} are needed")
    return hashlib.blake2b(
        carrier.encode("utf-8", "surrogateescape"),
        key=master[:64],
        person=b"hw trace export",
        digest_size=KEY_BYTES,
    ).digest()


def hashed(key, name, text):
    """A text's pseudonym: the same for the same text, field and key. Empty stays empty."""
    if not text:
        return text
    return hashlib.blake2b(
        text.encode("utf-8", "surrogateescape"), key=key, person=name.encode(), digest_size=HASH_BYTES
    ).hexdigest()


class Export:
    """Turns records, in the order of a trace, into a carrier's. Of an RPC the taking tells whose it is;
    `torn` counts records of RPCs whose taking was not seen: they may be anybody's and are left out."""

    def __init__(self, master, carrier, kinds):
        self.key, self.carrier, self.kinds = derived(master, carrier), carrier, kinds
        self.numbers, self.torn = {}, 0
        self.news = None  # what was told last: each change once, whatever the fronts repeat

    def treated(self, record):
        """The record as the carrier gets it, or None."""
        rules = TREATED.get(record.kind)
        if rules is None:
            return None
        kind = self.kinds[record.kind]
        number = kind.value(record.values, "rpc")
        if number is None:
            return self.told(record, kind, rules)
        if record.kind == TAKEN.number and kind.value(record.values, "customer") == self.carrier:
            self.numbers[record.source, number] = len(self.numbers) + 1
        if (record.source, number) not in self.numbers:
            self.torn += record.kind == TAKEN.number and not kind.value(record.values, "customer")
            return None
        return self.with_rules(record, kind, rules)

    def told(self, record, kind, rules):
        """What the platform tells, each change once: how often a front is told it again depends on its
        votes."""
        found = self.with_rules(record, kind, rules)
        if self.news == found.values:
            return None
        self.news = found.values
        return found

    def with_rules(self, record, kind, rules):
        values = []
        for field, value in zip(kind.fields, record.values):
            rule = rules.get(field.name)
            if rule == HASH:
                value = hashed(self.key, field.name, value)
            elif rule == RENUMBER:
                value = self.numbers[record.source, value]
            elif rule == REASON:
                value = value if value in OWN_REASONS else WITHHELD
            elif rule != KEEP:
                value = EMPTY[field.type]
            values.append(value)
        return Record(record.time, record.source, record.kind, tuple(values))
