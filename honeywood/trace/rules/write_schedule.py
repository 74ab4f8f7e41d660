"""When queued records are written as a block, when a new file begins, and when a failed write is retried."""

from __future__ import annotations

MAX_BLOCK_RECORDS = 8192  # more pack little better and are read in vain more often
RETRY_INTERVAL = 60 * 10_000  # tenths of a ms after a failed write; it is logged as often


class WriteSchedule:
    """A failed write never reaches the balancer: it serves on, and logs it once a minute.

    Times are tenths of a millisecond.
    """

    def __init__(self, block_age: int, file_bytes: int, file_age: int) -> None:
        """A block is written at this age of its oldest record, a file ended at these bytes or this age."""
        self._block_age, self._file_bytes, self._file_age = block_age, file_bytes, file_age
        self._failed_at: int | None = None
        self._logged_at: int | None = None

    def block_is_due(self, queued: int, oldest_at: int, now: int) -> bool:
        """Whether `queued` records, the oldest in the queue since then, are to be written now."""
        return queued >= MAX_BLOCK_RECORDS or (queued > 0 and now - oldest_at >= self._block_age)

    def file_is_due(self, size: int, opened_at: int, now: int) -> bool:
        """Whether the next block goes to a new file. A clock that steps back keeps none open for ever."""
        return size >= self._file_bytes or not 0 <= now - opened_at < self._file_age

    def may_write(self, now: int) -> bool:
        """Whether a write may be tried."""
        return self._failed_at is None or now - self._failed_at >= RETRY_INTERVAL

    def on_failure(self, now: int) -> bool:
        """A write failed; whether that is to be logged now."""
        self._failed_at = now
        if self._logged_at is None or now - self._logged_at >= RETRY_INTERVAL:
            self._logged_at = now
            return True
        return False

    def on_success(self) -> bool:
        """A write went well; whether that ends a time without."""
        had_failed, self._failed_at = self._failed_at is not None, None
        return had_failed
