"""Histories of processes that use one row store with injected faults: rows of returned puts must survive.

At each file operation power may be lost, the process may be killed (also during a call that hangs), or the
call may fail: without any effect, half-way as on a full disk, or after its full effect.

After a power loss each file has the content of its last sync, and every sector that changed since is present,
missing or cut off at random. A file whose folder was not synced since the file was created may be missing,
and a removal that was not synced in this way may be undone, each independently of the others. A kill leaves
all files as they are but makes no unsynced write durable, so a later power loss may still discard it.
"""

from __future__ import annotations

import os
import random
import tempfile
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from honeywood.gateway.register.file_operations import FileOperations
from honeywood.gateway.register.row_store import RowStore
from honeywood.lab.model.call_faults import CallFault, FaultPlan, draw_fault_plan
from honeywood.lab.model.disk_model import DiskModel, UnsyncedWrites
from honeywood.lab.model.faulty_file_operations import FaultyFileOperations, ProcessTerminated

if TYPE_CHECKING:
    from typing import TypeAlias

    from honeywood.gateway.register.json_value import JsonValue

    Rows: TypeAlias = dict[str, JsonValue]
    """The rows of a store by key; the first item of each row is unique."""


PROCESSES_PER_HISTORY = 5
KEYS = 3
MAX_PUTS = 7
VALUE_CHARACTERS = (1, 40, 700, 5000)


class DurabilityError(AssertionError):
    """An opened store lacks a row that a returned put wrote, or contains one that it must not contain."""


@dataclass(frozen=True, slots=True)
class StoreTypes:
    """The store under test and its file operations; tests substitute versions that lack a safeguard."""

    store: type[RowStore] = RowStore
    operations: type[FaultyFileOperations] = FaultyFileOperations


DEFAULT_TYPES = StoreTypes()


class _Workload:
    """Random puts on a store; `possible_rows` are the contents that the next process may find.

    These are the result of all returned puts, and that result with any one later put that failed or was
    interrupted.
    """

    def __init__(self, random: random.Random, possible_rows: Sequence[Rows]) -> None:
        self._random = random
        self.possible_rows = list(possible_rows)

    def run(self, folder: str, operations: FileOperations, store_type: type[RowStore]) -> None:
        """Open the store, check its rows, and write to it."""
        store = _open(folder, operations, store_type)
        found = store.rows()
        if found not in self.possible_rows:
            expected = [_first_items(rows) for rows in self.possible_rows]
            raise DurabilityError(f"{_first_items(found)} was found, expected one of {expected}")
        self.possible_rows = [found]
        for _ in range(self._random.randrange(1, MAX_PUTS)):
            self._put(store)
        store.close()

    def _put(self, store: RowStore) -> None:
        random = self._random
        rows: Rows = {
            f"k{random.randrange(KEYS)}": random.choice((None, [random.random(), "x" * characters]))
            for characters in random.sample(VALUE_CHARACTERS, random.randrange(1, 3))
        }
        merged = {**self.possible_rows[0], **rows}
        after = {key: row for key, row in merged.items() if row is not None}
        self.possible_rows.append(after)
        try:
            store.put(rows)
        except OSError:
            return  # its rows may or may not be found, until a later put returns
        self.possible_rows = [after]


def _open(folder: str, operations: FileOperations, store_type: type[RowStore]) -> RowStore:
    """Open the store, and retry until that succeeds."""
    while True:
        try:
            return store_type(folder, operations)
        except OSError:
            continue


def _first_items(rows: Rows) -> Rows:
    """Return the rows shortened to their first items, for messages."""
    return {key: row and row[0] for key, row in rows.items()}


class CrashHistory:
    """A sequence of processes that use the same store, one after another."""

    def __init__(
        self, folder: str, random: random.Random, unsynced: UnsyncedWrites, types: StoreTypes = DEFAULT_TYPES
    ) -> None:
        """Start with an empty store; `unsynced` is the effect of a power loss on unsynced writes."""
        self._folder = os.path.join(folder, "d")
        self._random = random
        self._types = types
        self._disk_model = DiskModel()
        self._possible_rows: Sequence[Rows] = [{}]
        self.unsynced = unsynced

    def run_process(self, plan: FaultPlan) -> int:
        """Run one process until it ends; return the number of its file operations.

        Raises DurabilityError if it finds rows that it must not find.
        """
        operations = self._types.operations(self._disk_model, plan)
        workload = _Workload(self._random, self._possible_rows)
        with suppress(ProcessTerminated):
            workload.run(self._folder, operations, self._types.store)
        operations.close()
        if plan.get(operations.calls) is CallFault.POWER_LOSS:
            self.lose_power()
        self._possible_rows = workload.possible_rows
        return operations.calls

    def lose_power(self) -> None:
        """Simulate a power loss while no process runs."""
        self._disk_model.lose_power(self._folder, self._random, self.unsynced)


def run_history(
    seed: int,
    types: StoreTypes = DEFAULT_TYPES,
    draw_plan: Callable[[random.Random], FaultPlan] = draw_fault_plan,
) -> int:
    """Run processes with drawn fault plans, then one without faults; return the number of injected faults.

    Raises DurabilityError if a process finds rows that it must not find.
    """
    rng = random.Random(seed)
    faults = 0
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        history = CrashHistory(folder, rng, UnsyncedWrites.KEPT, types)
        for process in range(PROCESSES_PER_HISTORY):
            plan = draw_plan(rng) if process < PROCESSES_PER_HISTORY - 1 else {}
            history.unsynced = rng.choice(tuple(UnsyncedWrites))
            calls = history.run_process(plan)
            faults += sum(call <= calls for call in plan)
    return faults


def fault_at_every_call(seed: int, unsynced: UnsyncedWrites, fault: CallFault = CallFault.POWER_LOSS) -> int:
    """Run the same process with `fault` at each of its calls in turn; return the number of its calls.

    If `fault` is not a power loss, power is lost after the process has ended. Raises DurabilityError if a
    process finds rows that it must not find.
    """
    faulty_call = 0
    while True:
        faulty_call += 1
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            history = CrashHistory(folder, random.Random(seed), unsynced)
            history.run_process({})
            calls = history.run_process({faulty_call: fault})
            if fault is not CallFault.POWER_LOSS:
                history.lose_power()
            history.run_process({})
        if calls < faulty_call:
            return calls
