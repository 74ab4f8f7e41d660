"""What a recorder keeps: which records are shed when its queue fills, when a block, a file and a folder are
full, and what becomes of a recorder that cannot write."""

from honeywood.trace.schema import LOOK, PROBE, TAKEN

BLOCK_RECORDS = 8192  # of a block at the most: more pack little better and are read in vain more
# Shares of the queue from which on records are shed: what tells least first. Once an RPC is taken in, the
# rest of its life has the last quarter to itself, so that few lives are torn; one that is not taken in has no
# records.
SHED_ASIDES, SHED_NEW = 0.5, 0.75
ASIDES = {PROBE.number, LOOK.number}
AGAIN = 60 * 10_000  # so long after a failed write the next is tried, and so often it is said
FULL = "queue"


class Intake:
    """Whether a record is taken into a queue of so many places, of which some are taken; counts what is
    not, until it is asked for by `dropped()`.

    >>> from honeywood.trace.schema import ANSWER
    >>> intake = Intake(100)
    >>> [intake.takes(kind.number, 80, True) for kind in (TAKEN, ANSWER)], intake.dropped()
    ([False, True], (1, 1))
    """

    def __init__(self, places):
        self.places, self.from_asides, self.from_new = places, places * SHED_ASIDES, places * SHED_NEW
        self.lost, self.lost_rpcs = 0, 0

    def takes(self, kind, held, recorded):
        """`recorded`: whether the record's RPC, if it is of one, was taken in itself."""
        if held < self.from_asides and recorded:
            return True
        if (
            recorded
            and held < self.places
            and not (kind in ASIDES or (kind == TAKEN.number and held >= self.from_new))
        ):
            return True
        self.lost += 1
        self.lost_rpcs += kind == TAKEN.number
        return False

    def dropped(self):
        """(records, RPCs among them) lost since it was asked last."""
        lost = self.lost, self.lost_rpcs
        self.lost = self.lost_rpcs = 0
        return lost


class Recording:
    """When what waits is written as a block and when a new file begins; and, after a write failed, when the
    next is tried. A failed write never reaches the front: it serves on, and says so once a minute."""

    def __init__(self, block_age, file_bytes, file_age):
        self.block_age, self.file_bytes, self.file_age = block_age, file_bytes, file_age
        self.failed_at = self.said_at = None

    def block_due(self, waiting, oldest, now):
        """Whether `waiting` records, the oldest in the queue since then, are to be written now."""
        return waiting >= BLOCK_RECORDS or (waiting > 0 and now - oldest >= self.block_age)

    def file_due(self, size, opened, now):
        """Whether the next block goes to a new file. A clock that steps back does not keep one open for
        ever."""
        return size >= self.file_bytes or not 0 <= now - opened < self.file_age

    def failed(self, now):
        """A write failed. Whether that is to be said now."""
        self.failed_at = now
        if self.said_at is None or now - self.said_at >= AGAIN:
            self.said_at = now
            return True
        return False

    def may_write(self, now):
        return self.failed_at is None or now - self.failed_at >= AGAIN

    def wrote(self):
        """A write went well. Whether that ends a time without."""
        back, self.failed_at = self.failed_at is not None, None
        return back


def to_delete(files, now, most_bytes, longest_age, room):
    """Names of the files to be deleted, oldest first, so that those left and `room` bytes more are within
    most_bytes, and none is older than longest_age. `files`: (name, bytes, when it was last written) of all
    but the one that is open; only names that a recorder gave are ever handed in."""
    files = sorted(files, key=lambda file: (file[2], file[0]))
    gone = [file for file in files if now - file[2] > longest_age]
    kept = [file for file in files if now - file[2] <= longest_age]
    held = sum(size for _, size, _ in kept) + room
    while kept and held > most_bytes:
        gone.append(kept.pop(0))
        held -= gone[-1][1]
    return [name for name, _, _ in gone]
