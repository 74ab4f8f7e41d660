"""Mailboxes: bound calls that other threads post and that are made one at a time, in order."""

from __future__ import annotations

import _thread
from collections import deque
from queue import Empty, SimpleQueue

from honeywood.balancer.transport import clock
from honeywood.balancer.transport.threads import run_on_thread
from honeywood.balancer.transport.timers import Timers

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    PostedCall = tuple[Callable[..., Any], tuple[Any, ...]]
    FailureHandler = Callable[[str, BaseException], Any]


class MailboxFull(Exception):  # noqa: N818 - named for what went wrong
    """More was posted than can ever be outstanding: a fault of the program."""


class Mailbox:
    """A mailbox with a thread of its own, and timers.

    What may be posted is bounded by what posts (an RPC a connection, a result an attempt); `capacity` catches
    a fault in that. An exception in a call goes to `fail`, which ends the program.
    """

    def __init__(self, name: str, capacity: int, fail: FailureHandler) -> None:
        """Its calls are made from start() on."""
        self.name, self.fail = name, fail
        self._capacity = capacity
        self._calls: SimpleQueue[PostedCall] = SimpleQueue()
        self.timers = Timers()

    def start(self) -> None:
        """Begin to make calls."""
        run_on_thread(self.name, self._loop, self.fail)

    def post(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Have a call made. Raises MailboxFull."""
        if self._calls.qsize() >= self._capacity:
            raise MailboxFull(f"mailbox of {self.name} is full at {self._capacity}")
        self._calls.put((call, arguments))

    def after(self, delay: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Have a call made later; to be called on the mailbox's own thread."""
        self.timers.at(clock.now() + delay, call, *arguments)

    def _loop(self) -> None:
        while True:
            try:
                call, arguments = self._calls.get(timeout=self.timers.wait_s(clock.now()))
                call(*arguments)
            except Empty:
                pass
            self.timers.run(clock.now())


class SharedMailbox:
    """A mailbox without a thread: its calls are made by whoever posts while none is being made.

    That thread makes those as well that others post meanwhile. A hop between threads costs more than most
    calls; so no call may wait for anything.
    """

    def __init__(self, name: str, capacity: int, fail: FailureHandler) -> None:
        """Calls may be posted at once."""
        self.name, self.fail = name, fail
        self._capacity = capacity
        self._calls: deque[PostedCall] = deque()
        self._free = _thread.allocate_lock()

    def post(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Have a call made, by this thread or the one that makes another. Raises MailboxFull."""
        if len(self._calls) >= self._capacity:
            raise MailboxFull(f"mailbox of {self.name} is full at {self._capacity}")
        self._calls.append((call, arguments))
        while self._calls and self._free.acquire(False):  # again: one may have come just before the release
            try:
                while self._calls:
                    call, arguments = self._calls.popleft()
                    call(*arguments)
            finally:
                self._free.release()
