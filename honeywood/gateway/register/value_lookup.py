"""Finds values by reference, in this disk's rows and among the values in transfer."""

from __future__ import annotations

import asyncio

from honeywood.gateway.register.values import (
    CompleteValue,
    InlineValue,
    ValueReference,
    canonical_text,
    carried_form,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.persistent_state import PersistentState
    from honeywood.gateway.register.row import Ballot, Row
    from honeywood.gateway.register.value_store import ValueStore
    from honeywood.gateway.register.values import CarriedValue, ValueChunk


def _now() -> float:
    return asyncio.get_running_loop().time()


class ValueLookup:
    """The values that this disk has, including those in transfer, which are in `store`."""

    def __init__(self, state: PersistentState, store: ValueStore) -> None:
        """Search the rows of `state` first, then `store`."""
        self._state = state
        self.store = store
        # Each value is hashed only once. By key: the accepted ballot, and the reference to the value, which
        # is None for a small value.
        self._references: dict[str, tuple[Ballot, ValueReference | None]] = {}

    def carried(self, key: str) -> CarriedValue:
        """Return the form in which messages carry the value of a key's row."""
        row = self._state.registers.get(key)
        if row is None or row.value is None:
            return None
        ballot, reference = self._references.get(key, (None, None))
        if ballot != row.accepted:
            form = carried_form(row.value)
            reference = form if isinstance(form, ValueReference) else None
            self._references[key] = row.accepted, reference
        return InlineValue(row.value) if reference is None else reference

    def find(self, carried: CarriedValue) -> CompleteValue | None:
        """Return the value that a message carried, or None if this disk doesn't have it."""
        if carried is None:
            return CompleteValue(None)
        if isinstance(carried, InlineValue):
            return CompleteValue(carried.value)
        row = self._row_of(carried)
        if row is not None:
            return CompleteValue(row.value)
        return self.store.value(_now(), carried)

    def has(self, reference: ValueReference) -> bool:
        """Return whether this disk has a complete value."""
        return self._row_of(reference) is not None or self.store.text(_now(), reference) is not None

    def _row_of(self, reference: ValueReference) -> Row | None:
        rows = self._state.registers
        return next((row for key, row in rows.items() if self.carried(key) == reference), None)

    def chunk(self, reference: ValueReference, start: int, size: int) -> ValueChunk | None:
        """Return a chunk of a value, or None if this disk doesn't have the value.

        The value is also put into the store, so that its transfer can continue if the row changes.
        """
        now = _now()
        if self.store.text(now, reference) is None:
            complete = self.find(reference)
            if complete is None:
                return None
            self.store.add(now, canonical_text(complete.value))
        return self.store.chunk(now, reference, start, size)

    def expect_push(self, reference: ValueReference) -> int:
        """Return how many characters of a value have arrived; the caller will push the rest."""
        now = _now()
        self.store.expect_push(now, reference)
        return self.store.received_characters(now, reference)

    def add_chunk(self, chunk: ValueChunk) -> int:
        """Add a chunk that a peer pushed; return how many characters of the value have arrived then."""
        if self.has(chunk.reference):
            return chunk.reference.length
        now = _now()
        self.store.expect_push(now, chunk.reference)
        return self.store.add_chunk(now, chunk)

    def add_proposed(self, value: JsonValue) -> CarriedValue:
        """Return the carried form of a value to be proposed; a large one is kept until it is accepted."""
        carried = carried_form(value)
        if isinstance(carried, ValueReference):
            self.store.add(_now(), canonical_text(value))
        return carried

    def discard_expired(self) -> None:
        """Discard the values in transfer that have expired."""
        self.store.discard_expired(_now())
