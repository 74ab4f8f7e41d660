"""Threads with small stacks, a few of which wait for more work."""

from __future__ import annotations

import _thread
from queue import SimpleQueue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    Work = tuple[str, Callable[[], Any], Callable[[str, BaseException], Any]]

MAX_WAITING = 8  # threads that wait for work
STACK_BYTES = 512 * 1024  # little of it is ever touched; JSON nested a thousand deep takes the most of it


class Threads:
    """A pool: connections that dial, or wait until their peer reads, mostly need no new thread."""

    def __init__(self) -> None:
        """There is no thread yet."""
        self._work: SimpleQueue[Work] = SimpleQueue()
        self._waiting, self._lock = 0, _thread.allocate_lock()

    def run(self, name: str, call: Callable[[], Any], fail: Callable[[str, BaseException], Any]) -> None:
        """Make a call on a thread; it is not waited for. What it raises goes to `fail`, with the name.

        Raises RuntimeError where the system has no thread for it.
        """
        with self._lock:
            handed_on = self._waiting > 0
            self._waiting -= handed_on
        if handed_on:
            self._work.put((name, call, fail))
            return
        _thread.stack_size(STACK_BYTES)
        _thread.start_new_thread(self._loop, (name, call, fail))

    def _loop(
        self, name: str, call: Callable[[], Any] | None, fail: Callable[[str, BaseException], Any]
    ) -> None:
        while True:
            try:
                if call:
                    call()
            except BaseException as error:  # noqa: BLE001 - `fail` ends the program
                fail(name, error)
            call = None  # what it holds is not kept by a thread that waits
            with self._lock:
                if self._waiting >= MAX_WAITING:
                    return
                self._waiting += 1
            name, call, fail = self._work.get()


run_on_thread = Threads().run
