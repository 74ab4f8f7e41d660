"""Schedules blocks, new files and the retries of failed writes."""

from __future__ import annotations

MAX_BLOCK_RECORDS = 8192  # larger blocks compress little better and are read needlessly more often
RETRY_INTERVAL = 60 * 10_000  # tenths of a ms after a failed write; also between log lines about it


class WriteSchedule:
    """Decides when to write, and when to retry and log after a failed write.

    The balancer keeps serving while writes fail; the failure is logged once a minute. Times are in tenths of
    a millisecond.
    """

    def __init__(self, block_age: int, file_bytes: int, file_age: int) -> None:
        """A block is written when its oldest record is of age `block_age`.

        A file is ended at `file_bytes` or at the age `file_age`.
        """
        self._block_age, self._file_bytes, self._file_age = block_age, file_bytes, file_age
        self._failed_at: int | None = None
        self._logged_at: int | None = None

    def block_is_due(self, queued: int, oldest_at: int, now: int) -> bool:
        """Whether to write `queued` records now; the oldest was queued at `oldest_at`."""
        return queued >= MAX_BLOCK_RECORDS or (queued > 0 and now - oldest_at >= self._block_age)

    def file_is_due(self, size: int, opened_at: int, now: int) -> bool:
        """Whether the next block goes to a new file.

        True also after a step back of the clock, which would keep the file open for too long.
        """
        return size >= self._file_bytes or not 0 <= now - opened_at < self._file_age

    def may_write(self, now: int) -> bool:
        """Whether a write may be attempted."""
        return self._failed_at is None or now - self._failed_at >= RETRY_INTERVAL

    def on_failure(self, now: int) -> bool:
        """Report a failed write; return whether to log it now."""
        self._failed_at = now
        if self._logged_at is None or now - self._logged_at >= RETRY_INTERVAL:
            self._logged_at = now
            return True
        return False

    def on_success(self) -> bool:
        """Report a successful write; return whether the writes before it had failed."""
        had_failed, self._failed_at = self._failed_at is not None, None
        return had_failed
