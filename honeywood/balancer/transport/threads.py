"""A small pool of threads with small stacks."""

from __future__ import annotations

import _thread
from queue import SimpleQueue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    Work = tuple[str, Callable[[], Any], Callable[[str, BaseException], Any]]

MAX_WAITING = 8  # idle threads that wait for work
STACK_BYTES = 512 * 1024  # mostly untouched; parsing JSON nested a thousand levels deep needs the most


class Threads:
    """A thread pool, so that dialling and blocked writes rarely need a new thread."""

    def __init__(self) -> None:
        """Create a pool without threads."""
        self._work: SimpleQueue[Work] = SimpleQueue()
        self._waiting, self._lock = 0, _thread.allocate_lock()

    def run(self, name: str, call: Callable[[], Any], fail: Callable[[str, BaseException], Any]) -> None:
        """Run a call on a thread, without waiting for it; an exception is passed to `fail` with the name.

        Raises:
            RuntimeError: the system cannot start a thread.
        """
        with self._lock:
            has_idle_thread = self._waiting > 0
            self._waiting -= has_idle_thread
        if has_idle_thread:
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
            call = None  # an idle thread must not keep the objects of its last call alive
            with self._lock:
                if self._waiting >= MAX_WAITING:
                    return
                self._waiting += 1
            name, call, fail = self._work.get()


run_on_thread = Threads().run
