"""Processes on one loop whose clock jumps (loop.py). Each handle (a callback that is due) belongs to the
process whose task made it, so a process can be held back alone: frozen, slowed, or ended with all that it had
under way."""

import asyncio
from collections import deque
from contextvars import Context, ContextVar
from math import inf
from weakref import WeakKeyDictionary

CURRENT = ContextVar("process", default=None)  # whose code is running; None: the world's
FROZEN = inf
TURN_S = 0.0002  # that a handle takes; a process that is slowed runs one in so many times this


class Process:
    """One life of a program. `pace` is 1.0, how many times slower it runs, or FROZEN."""

    def __init__(self, loop, name):
        """A process that runs nothing yet."""
        self.loop, self.name, self.pace = loop, name, 1.0
        self.tasks = WeakKeyDictionary()  # in the order of their making: a set's is that of addresses
        self.arrived, self.due, self.pumping = deque(), [], None
        self.context = Context()
        self.context.run(CURRENT.set, self)

    def run(self, work):
        """Runs a coroutine as this process does: a task."""
        return self.loop.create_task(work, context=self.context.copy())

    def park(self, handle):
        """Keeps what is due while the process is held back."""
        if isinstance(handle, asyncio.TimerHandle):
            self.due.append(handle)
        else:
            self.arrived.append(handle)
        if self.pace != FROZEN and self.pumping is None:
            self._pump()

    def _pump(self):
        """One handle now, the next when a slowed process gets to it."""
        self.pumping = None
        if self.arrived or self.due:
            handle = self.arrived.popleft() if self.arrived else self.due.pop(0)
            handle.go()
            self.pumping = self.loop.call_later(TURN_S * self.pace, self._pump, context=Context())

    def hold(self, pace):
        """Freezes the process or slows it; at 1.0 it runs on, and all that came due runs at once: first
        what arrived, then what its clock says, as a real loop does."""
        self.pace = pace
        if self.pumping is not None:
            self.pumping.cancel()
            self.pumping = None
        if pace == 1.0:
            ready = [*self.arrived, *self.due]
            self.arrived, self.due = deque(), []
            self.loop.take(ready)
        elif pace != FROZEN:
            self.pumping = self.loop.call_soon(self._pump, context=Context())

    def end(self):
        """All that it had under way ends where it stands."""
        for task in list(self.tasks):
            task.cancel()
        self.hold(1.0)
