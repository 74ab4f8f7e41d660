"""The register's files: what a put that returned wrote is found by every later open."""

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


@test("power is lost at every call in turn, what was not synced {unsynced}")
def _(unsynced=each(UnsyncedWrites.KEPT, UnsyncedWrites.DISCARDED, UnsyncedWrites.MIXED)):
    assert sum(fault_at_every_call(seed, unsynced) for seed in range(8)) > 60


@test("every call in turn meets {fault}, and then power is lost, what was not synced {unsynced}")
def _(
    fault=each(CallFault.HANG, CallFault.REFUSED, CallFault.DISK_FULL, CallFault.REFUSED_AFTER_EFFECT),
    unsynced=each(
        UnsyncedWrites.MIXED, UnsyncedWrites.DISCARDED, UnsyncedWrites.MIXED, UnsyncedWrites.DISCARDED
    ),
):
    assert sum(fault_at_every_call(seed, unsynced, fault) for seed in range(8)) > 60


@test("and at calls by chance in life after life: nothing that a put had ended is lost")
def _():
    # A torn lmdb file opens, and then puts end with MDB_CORRUPTED, rows are gone, or reading ends the program
    # by an assertion of lmdb's: without the sums beside the files this test does not even end. Removals that
    # were lost are played too: seen by a hunt, a mark of an opening that had come back with power made two
    # machines put their newer file aside, and with it the version that had been acknowledged last.
    assert sum(run_history(seed) for seed in range(300)) > 1500


@test("a row that was refused after its bytes were down isn't found in the place of the one that ended then")
def _():
    # Both attempts carried one number: the left file, come back with power, won by its name.
    with tempfile.TemporaryDirectory() as folder:

        class RefusedOnce(FaultyFileOperations):
            left = []
            refuses_next_write = False

            def remove(self, path):
                with open(path, "rb") as file:
                    self.left.append((path, file.read()))
                super().remove(path)

            def write(self, path, content):
                super().write(path, content)
                if self.refuses_next_write:
                    self.refuses_next_write = False
                    raise OSError(5, "refused")

        calls = RefusedOnce(DiskModel(), {})
        disk = RowStore(folder, calls)
        disk.put({"k": "first"})
        disk.put({"k": "second"})
        calls.refuses_next_write = True
        try:
            disk.put({"k": "refused"})
        except OSError:
            disk.put({"k": "ended"})
        disk.close()
        for path, content in calls.left:  # the removals are lost with power
            with open(path, "wb") as file:
                file.write(content)
        assert RowStore(folder).rows() == {"k": "ended"} and calls.left


@test("what an open found is still there when power is lost right after it")
def _():
    # Whoever wrote it may have been killed before it synced; a restarted disk told others of a row that it
    # then lost: its answer had counted for a majority.
    for seed in range(30):
        with tempfile.TemporaryDirectory() as folder:
            chance, disk_model = random.Random(seed), DiskModel()
            calls = FaultyFileOperations(disk_model, {6 + seed % 5: CallFault.HANG})
            try:
                disk = RowStore(folder, calls)
                for put in range(3):
                    disk.put({"k": put})
            except ProcessTerminated:
                calls.close()
            found = RowStore(folder, FaultyFileOperations(disk_model, {})).rows()
            disk_model.lose_power(folder, chance, UnsyncedWrites.DISCARDED)
            assert RowStore(folder).rows() == found


@test("a full disk refuses, holds what it held, leaves nothing behind and goes on when there is room")
def _():
    # Each refused put left a file behind that took up room itself.
    class Full(FileOperations):
        full = False

        def write(self, path, text):
            if self.full:
                raise OSError(28, "no room")
            super().write(path, text)

    with tempfile.TemporaryDirectory() as folder:
        calls = Full()
        disk = RowStore(folder, calls)
        for put in range(3):
            disk.put({"k": put})
        calls.full, refused = True, 0
        for _ in range(20):
            try:
                disk.put({"k": "x" * 10_000})
            except OSError:
                refused += 1
        assert refused == 20 and disk.rows() == {"k": 2} and len(os.listdir(folder)) <= 4
        calls.full = False
        disk.put({"l": 1})
        disk.close()
        assert RowStore(folder).rows() == {"k": 2, "l": 1}


def size(folder):
    return sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))


@test("after thousands of changes and rows that came and went the files are as small as after ten")
def _():
    with tempfile.TemporaryDirectory() as folder:
        disk, sizes, draw = RowStore(folder), [], random.Random(1)
        for put in range(3000):
            disk.put({"k": "x" * draw.randrange(60_000), f"m{put}": "y" * 200, f"m{put - 40}": None})
            if put in (50, 2999):
                sizes.append(size(folder))
        disk.close()
        assert sizes[1] < 2 * sizes[0] and sizes[1] < 1 << 20, sizes
        assert len(RowStore(folder).rows()) == 41


class WithoutPreviousWrite(RowStore):
    """Writes to its two files in turn without the rows of the write before."""

    _previous_write = property(lambda self: {}, lambda self, rows: None)


class NumbersEndedAttempts(RowStore):
    """Numbers only those attempts that ended."""

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
        "the rows of the write before",
        "the sync",
        "a number for each attempt",
        "a sync of what was found",
        "a sync of the folder",
    ),
    store=each(WithoutPreviousWrite, RowStore, NumbersEndedAttempts, WithoutSyncOfFound, RowStore),
    operations=each(
        FaultyFileOperations, WithoutSync, FaultyFileOperations, FaultyFileOperations, WithoutFolderSync
    ),
):
    # Mutations: histories that can't see them would prove nothing.
    lost, types = 0, StoreTypes(store, operations)
    for seed in range(3000):
        try:
            run_history(seed, types)
        except AssertionError:
            lost += 1
            break
    assert lost
