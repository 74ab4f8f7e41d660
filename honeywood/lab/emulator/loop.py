"""An event loop whose clock jumps to the next event, and on which a day is repeated exactly by its seed."""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar, TypeVarTuple

from honeywood.lab.emulator.handles import Handle, Timer
from honeywood.lab.emulator.ordered_tasks import Future, Task, restart_numbers
from honeywood.lab.emulator.process import CURRENT

if TYPE_CHECKING:
    from collections.abc import Coroutine, Generator
    from contextvars import Context
    from selectors import BaseSelector
    from typing import Any

T = TypeVar("T")
Ts = TypeVarTuple("Ts")

SYNC_S = 0.002
"""That a disk's write takes."""
POWER_LOSS_WRITTEN_PROBABILITY = 0.5


@dataclass(frozen=True, slots=True)
class DiskFault:
    """How a disk behaves: `slowdown` times slower; refusing writes, though they may have taken effect."""

    slowdown: float = 1.0
    refused: bool = False
    takes_effect: bool = True


HEALTHY_DISK = DiskFault()
REFUSING_DISK = DiskFault(refused=True, takes_effect=False)
REFUSING_AFTER_EFFECT = DiskFault(refused=True)


def _perform(fault: DiskFault, write: Callable[[], T]) -> T:
    """Return the result of a write to a disk; raises OSError where it is refused."""
    if not fault.refused:
        return write()
    if fault.takes_effect:
        write()
    raise OSError("the disk takes no writes")


class JumpingSelector:
    """A selector that waits for nothing: the clock passes the time-out at once."""

    def __init__(self, loop: Loop, selector: BaseSelector) -> None:
        """All but `select` is left to `selector`."""
        self._loop = loop
        self._selector = selector

    def select(self, timeout: float | None) -> list[Any]:
        """Return no events once the loop's clock has passed `timeout`."""
        if timeout is None:
            raise RuntimeError("nothing is scheduled in this world")
        self._loop.now += max(0.0, timeout)
        return []

    def __getattr__(self, name: str) -> Any:
        """Return what the real selector has."""
        return getattr(self._selector, name)


@dataclass(frozen=True, slots=True)
class _DiskWrite:
    executor: Executor | None
    perform: Callable[[], object]


class Loop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own, `now`, in seconds.

    Work for an executor is a write of the disk that it stands for: it takes `sync_s`, unless `disk_faults`
    has a fault of the executor.
    """

    if TYPE_CHECKING:
        _ready: deque[asyncio.Handle]
        _scheduled: list[asyncio.TimerHandle]
        _selector: Any

    def __init__(self) -> None:
        """A loop at second 0."""
        super().__init__()
        self.now = 0.0
        self.sync_s = SYNC_S
        self.disk_faults: dict[Executor | None, DiskFault] = {}
        self._writes: dict[asyncio.Future[Any], _DiskWrite] = {}
        self._selector = JumpingSelector(self, self._selector)
        restart_numbers()

    def time(self) -> float:
        """Return the seconds since the loop was made."""
        return self.now

    # asyncio makes all its handles by these two
    def _call_soon(
        self, callback: Callable[..., object], args: Sequence[Any], context: Context | None
    ) -> asyncio.Handle:
        handle = Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback as asyncio does, by a handle that its process may defer."""
        timer = Timer(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def run_soon(self, handles: Sequence[asyncio.Handle]) -> None:
        """Run deferred handles next, in this order."""
        self._ready.extend(handles)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: object = None,
        context: Context | None = None,
    ) -> asyncio.Task[T]:
        """Make a task as asyncio does; it belongs to the process of its context."""
        task: Task[T] = Task(coro, loop=self, name=name, context=context)
        process = CURRENT.get() if context is None else context.get(CURRENT)
        if process is not None:
            process.tasks[task] = None
        return task

    def create_future(self) -> asyncio.Future[Any]:
        """Make a future with a number."""
        return Future(loop=self)

    def run_in_executor(
        self, executor: Executor | None, func: Callable[[*Ts], T], *args: *Ts
    ) -> asyncio.Future[T]:
        """Return the result of a disk's write, after the time that its disk takes."""
        result: asyncio.Future[T] = self.create_future()
        fault = self.disk_faults.get(executor, HEALTHY_DISK)

        def complete() -> None:
            if self._writes.pop(result, None) is None or result.done():
                return
            try:
                result.set_result(_perform(fault, lambda: func(*args)))
            except Exception as error:  # whoever awaits the write gets it
                result.set_exception(error)

        self._writes[result] = _DiskWrite(executor, lambda: func(*args))
        self.call_later(self.sync_s * fault.slowdown, complete)
        return result

    def lose_power(self, executor: Executor, random: Callable[[], float]) -> None:
        """End the writes of a process that ends: each takes effect or doesn't."""
        for result, write in list(self._writes.items()):
            if write.executor is executor:
                del self._writes[result]
                if random() < POWER_LOSS_WRITTEN_PROBABILITY:
                    write.perform()
