"""Processes on one loop whose clock jumps. Each handle (a callback that is due) belongs to the process whose
task made it, so a process can be held back alone: frozen, slowed, or ended with all that it had under way."""

import asyncio
import heapq
from collections import deque
from contextvars import Context, ContextVar
from itertools import count
from math import inf
from weakref import WeakKeyDictionary

WHOSE = ContextVar("process", default=None)  # the process that the running code belongs to; None: the world
FROZEN = inf
TURN = 0.0002  # seconds a handle takes; a process that is slowed runs one in so many times this


class Process:
    """One life of a program. `pace` is 1.0, how many times slower it runs, or FROZEN."""

    def __init__(self, loop, name):
        self.loop, self.name, self.pace = loop, name, 1.0
        self.tasks = WeakKeyDictionary()  # in the order of their making: a set's is that of addresses
        self.arrived, self.due, self.pumping = deque(), [], None
        self.context = Context()
        self.context.run(WHOSE.set, self)

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
            self.pumping = self.loop.call_later(TURN * self.pace, self._pump, context=Context())

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


class _Held:
    """A handle that asks the process it belongs to whether it may run."""

    def _run(self):
        whose = self._context.get(WHOSE)
        if whose is None or whose.pace == 1.0:
            self.go()
        else:
            whose.park(self)


class Handle(_Held, asyncio.Handle):
    __slots__ = ()

    def go(self):
        if not self._cancelled:
            asyncio.Handle._run(self)


class Timer(_Held, asyncio.TimerHandle):
    __slots__ = ()

    def go(self):
        if not self._cancelled:
            asyncio.TimerHandle._run(self)


class _Ranked:
    """Sets keep what is in them by hash, which is the address: by ranks a day comes out alike each time."""

    ranks = count()

    def __new__(cls, *given, **more):
        made = super().__new__(cls)
        made.rank = next(_Ranked.ranks)
        return made

    def __hash__(self):
        return self.rank


class Task(_Ranked, asyncio.Task):
    pass


class Future(_Ranked, asyncio.Future):
    pass


class Jump:
    """A selector that waits for nothing: time passes at once."""

    def __init__(self, loop, selector):
        self.loop, self.selector = loop, selector

    def select(self, timeout):
        if timeout is None:
            raise RuntimeError("nothing will ever happen in this world")
        self.loop.now += max(0.0, timeout)
        return []

    def __getattr__(self, name):
        return getattr(self.selector, name)


class Loop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own. Work for threads is a disk's: it takes `sync_s` times what
    `trouble` says of its executor: None, it is refused; SPOILT, it is done and refused all the same."""

    def __init__(self):
        super().__init__()
        self.now, self.sync_s, self._selector = 0.0, 0.002, Jump(self, self._selector)
        self.trouble, self.writing, _Ranked.ranks = {}, {}, count()

    def time(self):
        return self.now

    # asyncio makes all its handles by these two
    def _call_soon(self, callback, args, context):
        handle = Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        timer = Timer(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def take(self, handles):
        """Handles that were held back are due now, in this order."""
        self._ready.extend(handles)

    def create_task(self, work, *, name=None, context=None):
        task = Task(work, loop=self, name=name, context=context)
        whose = WHOSE.get() if context is None else context.get(WHOSE)
        if whose is not None:
            whose.tasks[task] = None
        return task

    def create_future(self):
        return Future(loop=self)

    def run_in_executor(self, executor, work, *given):
        done, times = self.create_future(), self.trouble.get(executor, 1.0)

        def run():
            if self.writing.pop(done, None) is None or done.done():
                return
            try:
                if times == SPOILT:
                    work(*given)
                if times in (None, SPOILT):
                    raise OSError("the disk takes no writes")
                done.set_result(work(*given))
            except Exception as wrong:
                done.set_exception(wrong)

        self.writing[done] = executor, work, given
        self.call_later(self.sync_s * (1.0 if times in (None, SPOILT) else times), run)
        return done

    def power(self, executor, chance):
        """What was being written by a process that ends: each there or not."""
        for done, (whose, work, given) in list(self.writing.items()):
            if whose is executor:
                del self.writing[done]
                if chance() < 0.5:
                    work(*given)


SPOILT = "spoilt"  # a disk whose writes are done and told as refused
