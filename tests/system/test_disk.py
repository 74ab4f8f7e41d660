"""The register's files: what a put that ended wrote is found by every later open, whenever power went."""

from ward import each, test

from honeywood.lab.prove import power
from honeywood.lab.prove.power import GONE, KEPT, MIXED, every_call, history
from honeywood.system.ledger.disk import Disk


@test("power is lost at every call in turn, what was not synced {how}")
def _(how=each(KEPT, GONE, MIXED)):
    assert sum(every_call(seed, how) for seed in range(8)) > 60


@test("and at a call by chance in life after life: nothing that a put had ended is lost")
def _():
    # A torn lmdb file opens, and then puts end with MDB_CORRUPTED, rows are gone, or reading ends the program
    # by an assertion of lmdb's: without the sums beside the files this test does not even end. Removals that
    # were lost are played too: seen by a hunt, a mark of an opening that had come back with power made two
    # machines put their newer file aside, and with it the version that had been acknowledged last.
    assert sum(history(seed) for seed in range(150)) > 300


class Alone(Disk):
    """Writes to its two files in turn without the rows of the write before."""

    last = property(lambda self: {}, lambda self, rows: None)


class Unsynced(power.Calls):
    def sync(self, env):
        self.called()


@test("without {guard} a row is lost")
def _(
    guard=each("the rows of the write before", "the sync"),
    disk=each(Alone, Disk),
    calls=each(power.Calls, Unsynced),
):
    # Mutations: histories that can't see them would prove nothing.
    lost, guarded = 0, power.Calls
    power.Calls = calls
    try:
        for seed in range(300):
            try:
                history(seed, disk=disk)
            except AssertionError:
                lost += 1
                break
    finally:
        power.Calls = guarded
    assert lost
