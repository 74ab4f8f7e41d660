"""An event loop whose clock jumps to the next event, and on which a day comes out the same each time."""

import asyncio
import heapq
from itertools import count

from honeywood.lab.emulator.process import CURRENT

SPOILT = "spoilt"  # a disk whose writes are done and told as refused


class _Held:
    """A handle that asks the process it belongs to whether it may run."""

    def _run(self):
        whose = self._context.get(CURRENT)
        if whose is None or whose.pace == 1.0:
            self.go()
        else:
            whose.park(self)


class Handle(_Held, asyncio.Handle):
    """A callback that is due at once."""

    __slots__ = ()

    def go(self):
        """Runs it, whatever holds its process back."""
        if not self._cancelled:
            asyncio.Handle._run(self)


class Timer(_Held, asyncio.TimerHandle):
    """A callback that is due at a time."""

    __slots__ = ()

    def go(self):
        """Runs it, whatever holds its process back."""
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
    """A task that sets keep by the rank of its making."""


class Future(_Ranked, asyncio.Future):
    """A future that sets keep by the rank of its making."""


class JumpingSelector:
    """A selector that waits for nothing: time passes at once."""

    def __init__(self, loop, selector):
        """All but `select` is left to `selector`."""
        self.loop, self.selector = loop, selector

    def select(self, timeout):
        """No events; the loop's clock has passed `timeout`."""
        if timeout is None:
            raise RuntimeError("nothing will ever happen in this world")
        self.loop.now += max(0.0, timeout)
        return []

    def __getattr__(self, name):
        """What the real selector has."""
        return getattr(self.selector, name)


class Loop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own. Work for threads is a disk's: it takes `sync_s` times what
    `trouble` says of its executor: None, it is refused; SPOILT, it is done and refused all the same."""

    def __init__(self):
        """A loop at second 0."""
        super().__init__()
        self.now, self.sync_s, self._selector = 0.0, 0.002, JumpingSelector(self, self._selector)
        self.trouble, self.writing, _Ranked.ranks = {}, {}, count()

    def time(self):
        """Seconds since the loop was made."""
        return self.now

    # asyncio makes all its handles by these two
    def _call_soon(self, callback, args, context):
        handle = Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        """As asyncio's, with a handle of ours."""
        timer = Timer(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def take(self, handles):
        """Handles that were held back are due now, in this order."""
        self._ready.extend(handles)

    def create_task(self, work, *, name=None, context=None):
        """As asyncio's; the task belongs to the process whose context it has."""
        task = Task(work, loop=self, name=name, context=context)
        whose = CURRENT.get() if context is None else context.get(CURRENT)
        if whose is not None:
            whose.tasks[task] = None
        return task

    def create_future(self):
        """As asyncio's, with a rank."""
        return Future(loop=self)

    def run_in_executor(self, executor, work, *given):
        """A disk's call: a future of what `work` returns, after the time that its disk takes."""
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
