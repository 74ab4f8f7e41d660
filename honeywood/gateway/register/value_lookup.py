"""Values by reference, out of this disk's rows and of what was carried here."""

import asyncio

from honeywood.gateway.register.values import InlineValue, ValueReference, carried, text_of


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
            self.known[key] = row.accepted, found if isinstance(found, ValueReference) else None
        return found if found is not None else InlineValue(row.value)

    def find(self, value):
        """(whether the value is here, the value), of what was carried."""
        if value is None:
            return True, None
        if isinstance(value, InlineValue):
            return True, value.value
        row = self._row_of(value)
        if row is not None:
            return True, row.value
        return self.store.value(asyncio.get_running_loop().time(), value)

    def has(self, reference):
        """Whether a value is here, whole."""
        now = asyncio.get_running_loop().time()
        return self._row_of(reference) is not None or self.store.text(now, reference) is not None

    def _row_of(self, reference):
        rows = self.storage.registers()
        return next((row for key, row in rows.items() if self.carried(key) == reference), None)

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
        """How many characters of a value were carried here; whoever asks hands over the others."""
        now = asyncio.get_running_loop().time()
        self.store.expect(now, reference)
        return self.store.held(now, reference)

    def take(self, chunk):
        """Takes a part of a value; how many characters are here then."""
        if self.has(chunk.reference):
            return chunk.reference.length
        now = asyncio.get_running_loop().time()
        self.store.expect(now, chunk.reference)
        return self.store.take(now, chunk)

    def hold(self, value):
        """How a value that is to be proposed is carried; a large one is kept here until it is accepted."""
        how = carried(value)
        if isinstance(how, ValueReference):
            self.store.hold(asyncio.get_running_loop().time(), text_of(value))
        return how

    def prune(self):
        """Forgets values whose transfer was given up."""
        self.store.prune(asyncio.get_running_loop().time())
