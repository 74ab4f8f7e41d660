"""Values by reference, out of this disk's rows and of what was carried here."""

import asyncio

from honeywood.gateway.register.values import Inline, Reference, carried, text_of


class ValueLookup:
    """What this disk knows of values: `storage` has the rows, `store` what is on its way."""

    def __init__(self, storage, store):
        self.storage, self.store = storage, store
        self.known = {}  # key: (ballot, how its value is carried); the hash is taken once a value

    def carried(self, key):
        """How the value of a key's row is carried."""
        row = self.storage.rows.get(key)
        if row is None or row.value is None:
            return None
        ballot, found = self.known.get(key, (None, None))
        if ballot != row.accepted:
            found = carried(row.value)
            # a small value is not kept twice: an empty note says that it goes inline
            self.known[key] = row.accepted, found if isinstance(found, Reference) else None
        return found if found is not None else Inline(row.value)

    def find(self, value):
        """(whether the value is here, the value), of what was carried."""
        if value is None:
            return True, None
        if isinstance(value, Inline):
            return True, value.value
        for key in self.storage.registers():
            if self.carried(key) == value:
                return True, self.storage.rows[key].value
        return self.store.value(asyncio.get_running_loop().time(), value)

    def chunk(self, reference, start, size):
        """A part of a value that is here, or None. It stays here for a while, though the row changes."""
        now = asyncio.get_running_loop().time()
        if self.store.text(now, reference) is None:
            found, value = self.find(reference)
            if not found:
                return None
            self.store.hold(now, text_of(value))
        return self.store.chunk(now, reference, start, size)

    def held(self, reference):
        """How many characters of a value were carried here."""
        return self.store.held(asyncio.get_running_loop().time(), reference)

    def take(self, chunk):
        """Takes a part of a value; how many characters are here then."""
        found, _ = self.find(chunk.reference)
        if found:
            return chunk.reference.length
        return self.store.take(asyncio.get_running_loop().time(), chunk)

    def hold(self, value):
        """How a value that is to be proposed is carried; a large one is kept here until it is accepted."""
        how = carried(value)
        if isinstance(how, Reference):
            self.store.hold(asyncio.get_running_loop().time(), text_of(value))
        return how
