"""A mailbox: bound calls that other threads post and its own thread makes, in order, with its timers."""
import threading
from queue import Empty, SimpleQueue

from honeywood.transport import clock
from honeywood.transport.timers import Timers

STACK = 512 * 1024  # little of it is ever touched; JSON nested a thousand deep takes the most of it


class Overflow(Exception):
    """More was posted than can ever be outstanding: a fault of the program."""


class Mailbox:
    """What may be posted is bounded by what posts (an RPC a connection, a result a pick); `bound` catches a
    fault in that. An exception in a call goes to `fail`, which ends the program."""

    def __init__(self, name, bound, fail):
        self.name, self.bound, self.fail = name, bound, fail
        self.calls, self.timers, self.over = SimpleQueue(), Timers(), False

    def start(self):
        run(self.name, self.loop, self.fail)

    def post(self, call, *given):
        if self.calls.qsize() >= self.bound:
            raise Overflow(f"mailbox of {self.name} is full at {self.bound}")
        self.calls.put((call, given))

    def after(self, units, call, *given):
        self.timers.at(clock.now() + units, call, *given)

    def end(self):
        """Called by its own thread: no call is made after the present one."""
        self.over = True

    def loop(self):
        while not self.over:
            try:
                call, given = self.calls.get(timeout=self.timers.wait(clock.now()))
                call(*given)
            except Empty:
                pass
            if not self.over:
                self.timers.run(clock.now())


def run(name, call, fail):
    """A thread with a small stack; what it raises ends the program."""
    def guarded():
        try:
            call()
        except BaseException as wrong:
            fail(name, wrong)
    threading.stack_size(STACK)
    threading.Thread(target=guarded, name=name, daemon=True).start()
