"""Mailboxes: bound calls that other threads post and that are made one at a time, in order."""
import _thread
from collections import deque
from queue import Empty, SimpleQueue

from honeywood.transport import clock
from honeywood.transport.timers import Timers

STACK = 512 * 1024  # little of it is ever touched; JSON nested a thousand deep takes the most of it


class Overflow(Exception):
    """More was posted than can ever be outstanding: a fault of the program."""


class Mailbox:
    """One with a thread of its own, and timers. What may be posted is bounded by what posts (an RPC a
    connection, a result a pick); `bound` catches a fault in that. An exception in a call goes to `fail`,
    which ends the program."""

    def __init__(self, name, bound, fail):
        self.name, self.bound, self.fail = name, bound, fail
        self.calls, self.timers = SimpleQueue(), Timers()

    def start(self):
        run(self.name, self.loop, self.fail)

    def post(self, call, *given):
        if self.calls.qsize() >= self.bound:
            raise Overflow(f"mailbox of {self.name} is full at {self.bound}")
        self.calls.put((call, given))

    def after(self, units, call, *given):
        self.timers.at(clock.now() + units, call, *given)

    def loop(self):
        while True:
            try:
                call, given = self.calls.get(timeout=self.timers.wait(clock.now()))
                call(*given)
            except Empty:
                pass
            self.timers.run(clock.now())


class LentMailbox:
    """One without a thread: whoever posts while no call is being made makes this one and those that others
    post meanwhile. A hop between threads costs more than most calls, so no call may wait for anything."""

    def __init__(self, name, bound, fail):
        self.name, self.bound, self.fail = name, bound, fail
        self.calls, self.free = deque(), _thread.allocate_lock()

    def post(self, call, *given):
        if len(self.calls) >= self.bound:
            raise Overflow(f"mailbox of {self.name} is full at {self.bound}")
        self.calls.append((call, given))
        while self.calls and self.free.acquire(False):  # looks again: one may have come just before the end
            try:
                while self.calls:
                    call, given = self.calls.popleft()
                    call(*given)
            finally:
                self.free.release()


def run(name, call, fail):
    """A thread with a small stack; what it raises ends the program. It is not waited for until it runs."""
    def guarded():
        try:
            call()
        except BaseException as wrong:
            fail(name, wrong)
    _thread.stack_size(STACK)
    _thread.start_new_thread(guarded, ())
