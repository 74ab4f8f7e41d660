"""What one carrier may be given of a trace. docs/design/trace.md, "The adversary", has the threat model.

An export has the carrier's own RPCs and the release updates that all receive, and of those only the fields
listed here. What depends on the traffic of others is left out, not blurred: two traces that differ only in
what other carriers did give the same export.
"""

import hashlib

from honeywood.trace.schema import (
    ANSWER,
    ARRIVAL,
    ATTEMPT,
    CLIENT_DISCONNECTED,
    DEFAULTS,
    RELEASE_UPDATE,
    RESULT,
    Record,
)

KEY_BYTES, HASH_BYTES = 32, 12
WITHHELD = 255  # replaces a reason that reveals the balancer's load
KEEP, HASH, RENUMBER, REASON = "keep", "hash", "renumber", "reason"
# Fields that are not listed are dropped, also those that newer versions add. Times in the queue, loads, the
# servers considered and their exclusions, votes and platform counts all depend on the traffic of others;
# addresses and log lines are dropped too.
FIELD_RULES = {
    ARRIVAL.number: {
        "rpc": RENUMBER,
        "id": HASH,
        "method": KEEP,
        "customer": HASH,
        "parcel": HASH,
        "deadline": KEEP,
        "work": KEEP,
        "repeat": KEEP,
    },
    ATTEMPT.number: {"rpc": RENUMBER, "number": KEEP, "server": HASH, "build": KEEP, "method": KEEP},
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
    CLIENT_DISCONNECTED.number: {"rpc": RENUMBER, "method": KEEP},
    RELEASE_UPDATE.number: {"build": KEEP, "step": KEEP, "standing": KEEP},
}
DISCLOSED_REASONS = {0, 3, 4}  # ok, no eligible server, the RPC's own soft deadline


class BadKey(ValueError):
    """A key that can't be used."""


def derive_key(master_key, carrier):
    """Return the carrier's key.

    Pseudonyms are equal in two exports of one carrier and differ between carriers. Raises BadKey where the
    master key is too short.
    """
    if len(master_key) < KEY_BYTES:
        raise BadKey(f"the key has {len(master_key)} bytes; {KEY_BYTES} are needed")
    return hashlib.blake2b(
        carrier.encode("utf-8", "surrogateescape"),
        key=master_key[:64],
        person=b"hw trace export",
        digest_size=KEY_BYTES,
    ).digest()


def pseudonym(key, name, text):
    """Return a text's pseudonym: the same for the same text, field and key. Empty texts stay empty."""
    if not text:
        return text
    return hashlib.blake2b(
        text.encode("utf-8", "surrogateescape"), key=key, person=name.encode(), digest_size=HASH_BYTES
    ).hexdigest()


class CarrierExport:
    """Turns the records of a trace, in their order, into a carrier's export.

    An RPC's arrival names its customer. `rpcs_without_customer` counts the RPCs whose arrival names none:
    they may be anybody's and are left out.
    """

    def __init__(self, master_key, carrier, kinds):
        self.key, self.carrier, self.kinds = derive_key(master_key, carrier), carrier, kinds
        self.rpc_numbers, self.rpcs_without_customer = {}, 0
        self.last_update = None  # the last one exported: the balancers repeat updates

    def transform(self, record):
        """Return the record as the carrier gets it, or None."""
        rules = FIELD_RULES.get(record.kind)
        if rules is None:
            return None
        kind = self.kinds[record.kind]
        number = kind.value(record.values, "rpc")
        if number is None:
            return self.transform_update(record, kind, rules)
        if record.kind == ARRIVAL.number and kind.value(record.values, "customer") == self.carrier:
            self.rpc_numbers[record.source, number] = len(self.rpc_numbers) + 1
        if (record.source, number) not in self.rpc_numbers:
            self.rpcs_without_customer += record.kind == ARRIVAL.number and not kind.value(
                record.values, "customer"
            )
            return None
        return self.apply_rules(record, kind, rules)

    def transform_update(self, record, kind, rules):
        """Return a release update, None where it repeats the last one.

        How often a balancer receives it again depends on its votes, and so on the traffic of others.
        """
        update = self.apply_rules(record, kind, rules)
        if self.last_update == update.values:
            return None
        self.last_update = update.values
        return update

    def apply_rules(self, record, kind, rules):
        values = []
        for field, value in zip(kind.fields, record.values):
            rule = rules.get(field.name)
            if rule == HASH:
                value = pseudonym(self.key, field.name, value)
            elif rule == RENUMBER:
                value = self.rpc_numbers[record.source, value]
            elif rule == REASON:
                value = value if value in DISCLOSED_REASONS else WITHHELD
            elif rule != KEEP:
                value = DEFAULTS[field.type]
            values.append(value)
        return Record(record.time, record.source, record.kind, tuple(values))
