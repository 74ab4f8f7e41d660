"""Tests of the register's files: the rows of a put that returned are found by every later open."""

import os
import random
import tempfile

from ward import each, test

from honeywood.gateway.register.file_operations import FileOperations
from honeywood.gateway.register.row_store import RowStore
from honeywood.lab.model.call_faults import CallFault
from honeywood.lab.model.crash_histories import StoreTypes, fault_at_every_call, run_history
from honeywood.lab.model.disk_model import DiskModel, UnsyncedWrites
from honeywood.lab.model.faulty_file_operations import FaultyFileOperations, ProcessTerminated


@test("no row is lost if power is lost at any file operation, with unsynced writes {unsynced}")
def _(unsynced=each(UnsyncedWrites.KEPT, UnsyncedWrites.DISCARDED, UnsyncedWrites.MIXED)):
    assert sum(fault_at_every_call(seed, unsynced) for seed in range(8)) > 60


@test("no row is lost if any file operation meets {fault} before power is lost, unsynced writes {unsynced}")
def _(
    fault=each(CallFault.HANG, CallFault.REFUSED, CallFault.DISK_FULL, CallFault.REFUSED_AFTER_EFFECT),
    unsynced=each(
        UnsyncedWrites.MIXED, UnsyncedWrites.DISCARDED, UnsyncedWrites.MIXED, UnsyncedWrites.DISCARDED
    ),
):
    assert sum(fault_at_every_call(seed, unsynced, fault) for seed in range(8)) > 60


@test("no row is lost over many restarts with faults at random file operations")
def _():
    # Guards against torn LMDB files that open: puts end with MDB_CORRUPTED, rows are missing, or an assertion
    # in LMDB ends the process, so that this test would not even finish without the checksum files. Removals
    # that were lost are played too: a marker file that reappeared after a loss of power once made two
    # controllers discard their newer file, and with it the version acknowledged last.
    assert sum(run_history(seed) for seed in range(300)) > 1500


@test("a row of a failed put, although its bytes were written, isn't found in place of a later put's row")
def _():
    # Guards against two attempts with the same number: the file of the failed one reappeared after a loss of
    # power, and was chosen by its name.
    with tempfile.TemporaryDirectory() as folder:

        class RefusedOnce(FaultyFileOperations):
            removed = []
            refuses_next_write = False

            def remove(self, path):
                with open(path, "rb") as file:
                    self.removed.append((path, file.read()))
                super().remove(path)

            def write(self, path, content):
                super().write(path, content)
                if self.refuses_next_write:
                    self.refuses_next_write = False
                    raise OSError(5, "refused")

        operations = RefusedOnce(DiskModel(), {})
        store = RowStore(folder, operations)
        store.put({"k": "first"})
        store.put({"k": "second"})
        operations.refuses_next_write = True
        try:
            store.put({"k": "refused"})
        except OSError:
            store.put({"k": "written"})
        store.close()
        for path, content in operations.removed:  # the loss of power reverts the removals
            with open(path, "wb") as file:
                file.write(content)
        assert RowStore(folder).rows() == {"k": "written"} and operations.removed


@test("rows that an open found are still there if power is lost right after it")
def _():
    # Guards against rows whose writer was killed before it synced them: after a restart the disk replied with
    # such a row, which counted for a majority, and then lost it.
    for seed in range(30):
        with tempfile.TemporaryDirectory() as folder:
            rng, disk_model = random.Random(seed), DiskModel()
            operations = FaultyFileOperations(disk_model, {6 + seed % 5: CallFault.HANG})
            try:
                store = RowStore(folder, operations)
                for put in range(3):
                    store.put({"k": put})
            except ProcessTerminated:
                operations.close()
            rows = RowStore(folder, FaultyFileOperations(disk_model, {})).rows()
            disk_model.lose_power(folder, rng, UnsyncedWrites.DISCARDED)
            assert RowStore(folder).rows() == rows


@test("a full disk refuses puts, keeps its rows, accumulates no files, and recovers when there is space")
def _():
    # Guards against failed puts that each leave a file behind, which takes up space itself.
    class FullDisk(FileOperations):
        full = False

        def write(self, path, text):
            if self.full:
                raise OSError(28, "no space left")
            super().write(path, text)

    with tempfile.TemporaryDirectory() as folder:
        operations = FullDisk()
        store = RowStore(folder, operations)
        for put in range(3):
            store.put({"k": put})
        operations.full, refused = True, 0
        for _ in range(20):
            try:
                store.put({"k": "x" * 10_000})
            except OSError:
                refused += 1
        assert refused == 20 and store.rows() == {"k": 2} and len(os.listdir(folder)) <= 4
        operations.full = False
        store.put({"l": 1})
        store.close()
        assert RowStore(folder).rows() == {"k": 2, "l": 1}


def folder_size(folder):
    return sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))


@test("the files stay small over thousands of puts that change, add and remove rows")
def _():
    with tempfile.TemporaryDirectory() as folder:
        store, sizes, rng = RowStore(folder), [], random.Random(1)
        for put in range(3000):
            store.put({"k": "x" * rng.randrange(60_000), f"m{put}": "y" * 200, f"m{put - 40}": None})
            if put in (50, 2999):
                sizes.append(folder_size(folder))
        store.close()
        assert sizes[1] < 2 * sizes[0] and sizes[1] < 1 << 20, sizes
        assert len(RowStore(folder).rows()) == 41


class WithoutPreviousWrite(RowStore):
    """Writes to its two files alternately, without the rows of the previous write."""

    _previous_write = property(lambda self: {}, lambda self, rows: None)


class WithoutNumberOfFailedAttempts(RowStore):
    """Numbers only successful attempts, so that a failed one and the next one have the same number."""

    def put(self, rows):
        try:
            super().put(rows)
        except OSError:
            self._attempt -= 1
            raise


class WithoutSyncOfFound(RowStore):
    def _sync_found(self, name):
        pass


class WithoutSync(FaultyFileOperations):
    def sync(self, environment):
        self.call(lambda: None)


class WithoutFolderSync(FaultyFileOperations):
    def sync_path(self, path):
        if not os.path.isdir(path):
            super().sync_path(path)


@test("without {safeguard} a row is lost")
def _(
    safeguard=each(
        "the rows of the previous write",
        "the sync",
        "a number for each attempt",
        "a sync of the file that was found",
        "a sync of the folder",
    ),
    store=each(WithoutPreviousWrite, RowStore, WithoutNumberOfFailedAttempts, WithoutSyncOfFound, RowStore),
    operations=each(
        FaultyFileOperations, WithoutSync, FaultyFileOperations, FaultyFileOperations, WithoutFolderSync
    ),
):
    # Mutation test: shows that the histories above would detect these faults.
    lost, types = 0, StoreTypes(store, operations)
    for seed in range(3000):
        try:
            run_history(seed, types)
        except AssertionError:
            lost += 1
            break
    assert lost
