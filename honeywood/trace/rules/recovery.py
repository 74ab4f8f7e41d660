"""What of a trace file that may be torn or damaged is data: the walk through its chunks, told what stands
where."""


class Walk:
    """The way through a file from its header's end, a chunk at a time. The caller looks at what stands `at`
    and says what it found; nothing that did not pass here is data.

    Invariants: `at` never goes back; blocks that pass have growing numbers, so that none passes twice; `torn`
    is set only by the last thing said, where no whole block stands behind."""

    def __init__(self, begins, size):
        self.at, self.size, self.number = begins, size, 0
        self.torn, self.over = 0, begins >= size

    def moved(self, at):
        self.at = at
        self.over = self.over or at >= self.size

    def whole(self, entry, size):
        """A chunk whose sums fit; `entry` None for one of the index. (Whether it is data, what is wrong or
        None.)"""
        at = self.at
        self.moved(at + size)
        if entry is None:
            return False, None
        expected, fits = self.number, entry.number >= self.number
        self.number = max(self.number, entry.number + 1)
        if entry.number == expected:
            return True, None
        twice = "" if fits else ": not taken twice"
        return fits, f"block {entry.number} at byte {at} where {expected} belongs{twice}"

    def broken(self, why, behind):
        """No whole chunk stands here; `behind` is where the next whole block of this file does, None where
        there is none. What is wrong, None where this is a torn tail: what a crash or a full disk leaves, and
        no damage."""
        at = self.at
        if behind is None:
            self.torn, self.over = self.size - at, True
            return None
        self.moved(behind)
        return f"{why} at byte {at}"
