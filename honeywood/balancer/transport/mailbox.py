"""Mailboxes: bound calls that other threads post and that are made one at a time, in order."""

import _thread
from collections import deque
from queue import Empty, SimpleQueue

from honeywood.balancer.transport import clock
from honeywood.balancer.transport.timers import Timers

SPARE = 8  # threads that wait for work
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


class Threads:
    """Threads with small stacks. One that has done its work waits for more, SPARE of them at the most: a
    connection that is dialled, or does not take what is written, mostly needs no new one."""

    def __init__(self):
        self.work, self.spare, self.lock = SimpleQueue(), 0, _thread.allocate_lock()

    def run(self, name, call, fail):
        """What the call raises ends the program. It is not waited for until it runs. Raises RuntimeError
        where the system has no thread for it."""
        with self.lock:
            handed = self.spare > 0
            self.spare -= handed
        if handed:
            return self.work.put((name, call, fail))
        _thread.stack_size(STACK)
        _thread.start_new_thread(self.loop, (name, call, fail))

    def loop(self, name, call, fail):
        while True:
            try:
                call()
            except BaseException as wrong:
                fail(name, wrong)
            call = None  # what it holds is not kept by a thread that waits
            with self.lock:
                if self.spare >= SPARE:
                    return
                self.spare += 1
            name, call, fail = self.work.get()


run = Threads().run
