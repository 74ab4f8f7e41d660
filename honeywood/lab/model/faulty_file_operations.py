"""File operations of the register's row store, with the faults of a plan injected."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from typing import TypeVar

import lmdb

from honeywood.gateway.register.file_operations import FileOperations
from honeywood.lab.model.call_faults import CallFault, FaultPlan
from honeywood.lab.model.disk_model import DiskModel

T = TypeVar("T")


class ProcessTerminated(BaseException):
    """The simulated process has ended. Not an Exception, so that no handler of the program catches it."""


class FaultyFileOperations(FileOperations):
    """Operations that work on real files and record in a disk model which writes are durable.

    `calls` is the number of calls so far.
    """

    def __init__(self, disk_model: DiskModel, plan: FaultPlan) -> None:
        """`plan` holds the faults of this process."""
        self.disk_model = disk_model
        self.plan = plan
        self.calls = 0
        self._environments: list[lmdb.Environment] = []

    def call(
        self,
        operation: Callable[[], T],
        partial_operation: Callable[[], object] = lambda: None,
        needs_space: bool = True,
        error: type[Exception] = OSError,
    ) -> T:
        """Perform an operation, or inject the fault that is planned for this call.

        `partial_operation` is the part that is performed on a full disk. With `needs_space` false the
        operation succeeds on a full disk. Raises `error` if the call fails, ProcessTerminated if the process
        ends.
        """
        self.calls += 1
        fault = self.plan.get(self.calls)
        if fault is CallFault.REFUSED:
            raise error("refused")
        if fault is CallFault.HANG:
            raise ProcessTerminated
        if fault is CallFault.DISK_FULL and needs_space:
            partial_operation()
            raise error("no space left")
        result = operation()
        if fault is CallFault.POWER_LOSS or fault is CallFault.KILL:
            raise ProcessTerminated
        if fault is CallFault.REFUSED_AFTER_EFFECT:
            raise error("refused after taking effect")
        return result

    def open(self, path: str, read_only: bool) -> lmdb.Environment:
        """Open an environment; faults are injected only when it is opened for writing."""
        if read_only:
            return super().open(path, True)

        def open_for_writing() -> lmdb.Environment:
            environment = FileOperations.open(self, path, False)
            self._environments.append(environment)
            return environment

        return self.call(open_for_writing, open_for_writing, error=lmdb.DiskError)

    def commit(self, environment: lmdb.Environment, rows: Mapping[bytes, bytes | None]) -> None:
        """Write rows; on a full disk only the first half is written."""
        first_half = dict(list(rows.items())[: len(rows) // 2])
        self.call(
            lambda: FileOperations.commit(self, environment, rows),
            lambda: FileOperations.commit(self, environment, first_half),
            error=lmdb.DiskError,
        )

    def sync(self, environment: lmdb.Environment) -> None:
        """Sync an environment's file."""

        def sync() -> None:
            FileOperations.sync(self, environment)
            self._mark_durable(environment.path())

        self.call(sync, needs_space=False, error=lmdb.DiskError)

    def _mark_durable(self, path: str) -> None:
        """Record that the file's current content survives a power loss."""
        with open(path, "rb") as file:
            self.disk_model.durable_contents[os.path.basename(path)] = file.read()

    def write(self, path: str, content: bytes) -> None:
        """Write a small file and sync it; these count as two calls."""

        def write(written: bytes) -> None:
            with open(path, "wb") as file:
                file.write(written)

        self.call(lambda: write(content), lambda: write(content[: len(content) // 2]))
        self.call(lambda: self._mark_durable(path), needs_space=False)

    def remove(self, path: str) -> None:
        """Remove a file; a power loss may undo the removal."""
        self.call(lambda: FileOperations.remove(self, path), needs_space=False)

    def sync_path(self, path: str) -> None:
        """Sync an existing file, or the names in a folder."""

        def sync() -> None:
            if os.path.isdir(path):
                self._mark_names_durable(path)
            else:
                self._mark_durable(path)

        self.call(sync, needs_space=False)

    def _mark_names_durable(self, folder: str) -> None:
        names = set(os.listdir(folder))
        self.disk_model.durable_names = names
        for removed in {*self.disk_model.durable_contents} - names:
            del self.disk_model.durable_contents[removed]

    def close(self) -> None:
        """Close all environments, as the end of the process would."""
        for environment in self._environments:
            environment.close()
