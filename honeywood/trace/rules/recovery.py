"""Decides which chunks of a trace file that may be torn or damaged are valid data."""


class RecoveryScan:
    """The state of a scan through a file, a chunk at a time, from the end of its header.

    The caller examines the chunk at `position` and reports the result; only accepted blocks are data.

    Invariants: `position` never decreases; the numbers of accepted blocks increase, so that no block is
    accepted twice; `torn_bytes` is set only by the last report, where no complete block follows.
    """

    def __init__(self, start, size):
        self.position, self.size, self.next_number = start, size, 0
        self.torn_bytes, self.finished = 0, start >= size

    def advance(self, position):
        self.position = position
        self.finished = self.finished or position >= self.size

    def on_valid_chunk(self, entry, size):
        """Report a chunk with valid checksums; `entry` is None for a chunk of the index.

        Returns:
            (whether its records are data, a description of the problem or None).
        """
        position = self.position
        self.advance(position + size)
        if entry is None:
            return False, None
        expected, is_accepted = self.next_number, entry.number >= self.next_number
        self.next_number = max(self.next_number, entry.number + 1)
        if entry.number == expected:
            return True, None
        suffix = "" if is_accepted else ": duplicate skipped"
        return is_accepted, f"block {entry.number} at byte {position} where {expected} is expected{suffix}"

    def on_invalid_chunk(self, problem, next_block):
        """Report that there is no complete chunk here.

        `next_block` is the offset of the next complete block of this file, None where there is none.

        Returns:
            A description of the damage; None for a torn tail, which a crash or a full disk leaves.
        """
        position = self.position
        if next_block is None:
            self.torn_bytes, self.finished = self.size - position, True
            return None
        self.advance(next_block)
        return f"{problem} at byte {position}"
