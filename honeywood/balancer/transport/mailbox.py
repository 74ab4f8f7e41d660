"""Mailboxes: bounded queues of calls that any thread posts and that run one at a time, in order."""

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
    """More calls are queued than can occur in a correct program."""


class Mailbox:
    """A mailbox with its own thread and timers.

    The number of queued calls is bounded by their sources (one RPC per connection, one result per attempt);
    `capacity` detects a fault there. An exception in a call is passed to `fail`, which ends the program.
    """

    def __init__(self, name: str, capacity: int, fail: FailureHandler) -> None:
        """Create a mailbox; its calls run from start() on."""
        self.name, self.fail = name, fail
        self._capacity = capacity
        self._calls: SimpleQueue[PostedCall] = SimpleQueue()
        self.timers = Timers()

    def start(self) -> None:
        """Start to run calls."""
        run_on_thread(self.name, self._loop, self.fail)

    def post(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Queue a call. Raises MailboxFull."""
        if self._calls.qsize() >= self._capacity:
            raise MailboxFull(f"mailbox of {self.name} is full at {self._capacity}")
        self._calls.put((call, arguments))

    def after(self, delay: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Run a call after a delay; must be called on the mailbox's thread."""
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
    """A mailbox without a thread: a thread that posts a call runs it, unless another thread is running calls.

    That thread also runs the calls that others post meanwhile. This avoids switches between threads, which
    cost more than most calls; in return, no call may block.
    """

    def __init__(self, name: str, capacity: int, fail: FailureHandler) -> None:
        """Create a mailbox; calls may be posted at once."""
        self.name, self.fail = name, fail
        self._capacity = capacity
        self._calls: deque[PostedCall] = deque()
        self._free = _thread.allocate_lock()

    def post(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Run a call on this thread, or on the one that is running calls. Raises MailboxFull."""
        if len(self._calls) >= self._capacity:
            raise MailboxFull(f"mailbox of {self.name} is full at {self._capacity}")
        self._calls.append((call, arguments))
        while self._calls and self._free.acquire(False):  # loop: one may be posted just before the release
            try:
                while self._calls:
                    call, arguments = self._calls.popleft()
                    call(*arguments)
            finally:
                self._free.release()
