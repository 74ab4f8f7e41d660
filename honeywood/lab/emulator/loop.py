"""A deterministic event loop whose clock jumps to the next event, so that days are reproducible."""

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
from honeywood.lab.emulator.process import CURRENT_PROCESS

if TYPE_CHECKING:
    from collections.abc import Coroutine, Generator
    from contextvars import Context
    from selectors import BaseSelector
    from typing import Any

T = TypeVar("T")
Ts = TypeVarTuple("Ts")

SYNC_S = 0.002
"""The duration of a write to a healthy disk."""
POWER_LOSS_WRITTEN_PROBABILITY = 0.5


@dataclass(frozen=True, slots=True)
class DiskFault:
    """A fault of a disk.

    Writes take `slowdown` times as long. If `refused`, they raise OSError; if `takes_effect` as well, the
    data is written nevertheless.
    """

    slowdown: float = 1.0
    refused: bool = False
    takes_effect: bool = True


HEALTHY_DISK = DiskFault()
REFUSING_DISK = DiskFault(refused=True, takes_effect=False)
REFUSING_AFTER_EFFECT = DiskFault(refused=True)


def _perform(fault: DiskFault, write: Callable[[], T]) -> T:
    """Return the result of a write to a disk with a fault; raises OSError if the fault refuses writes."""
    if not fault.refused:
        return write()
    if fault.takes_effect:
        write()
    raise OSError("the disk takes no writes")


class ClockAdvancingSelector:
    """A selector that advances the simulated clock by the time-out instead of waiting."""

    def __init__(self, loop: Loop, selector: BaseSelector) -> None:
        """Delegate everything except `select` to `selector`."""
        self._loop = loop
        self._selector = selector

    def select(self, timeout: float | None) -> list[Any]:
        """Advance the loop's clock by `timeout` and return no events.

        Raises:
            RuntimeError: Nothing is scheduled, so that the clock could never advance.
        """
        if timeout is None:
            raise RuntimeError("deadlock: no event is scheduled in this world")
        self._loop.now += max(0.0, timeout)
        return []

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the real selector."""
        return getattr(self._selector, name)


@dataclass(frozen=True, slots=True)
class _DiskWrite:
    executor: Executor | None
    perform: Callable[[], object]


class Loop(asyncio.SelectorEventLoop):
    """An event loop with a simulated clock, `now`, in seconds.

    Each executor represents a disk, and work that is run in it represents a write to that disk. A write takes
    `sync_s` seconds unless `disk_faults` contains a fault for the executor.
    """

    if TYPE_CHECKING:
        _ready: deque[asyncio.Handle]
        _scheduled: list[asyncio.TimerHandle]
        _selector: Any

    def __init__(self) -> None:
        """Create a loop whose clock is at 0."""
        super().__init__()
        self.now = 0.0
        self.sync_s = SYNC_S
        self.disk_faults: dict[Executor | None, DiskFault] = {}
        self._writes: dict[asyncio.Future[Any], _DiskWrite] = {}
        self._selector = ClockAdvancingSelector(self, self._selector)
        restart_numbers()

    def time(self) -> float:
        """Return the simulated time in seconds since the loop was created."""
        return self.now

    # asyncio creates all of its handles through `_call_soon` and `call_at`.
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
        """Schedule a callback as asyncio does, with a timer that its process can defer."""
        timer = Timer(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def run_soon(self, handles: Sequence[asyncio.Handle]) -> None:
        """Schedule deferred handles to run next, in the given order."""
        self._ready.extend(handles)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: object = None,
        context: Context | None = None,
    ) -> asyncio.Task[T]:
        """Create a task as asyncio does and register it with the process of its context."""
        task: Task[T] = Task(coro, loop=self, name=name, context=context)
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is not None:
            process.tasks[task] = None
        return task

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future that is hashed by its number (see ordered_tasks.py)."""
        return Future(loop=self)

    def run_in_executor(
        self, executor: Executor | None, func: Callable[[*Ts], T], *args: *Ts
    ) -> asyncio.Future[T]:
        """Perform a write after the time that the executor's disk takes; return the future of its result."""
        result: asyncio.Future[T] = self.create_future()
        fault = self.disk_faults.get(executor, HEALTHY_DISK)

        def complete() -> None:
            if self._writes.pop(result, None) is None or result.done():
                return
            try:
                result.set_result(_perform(fault, lambda: func(*args)))
            except Exception as error:  # raised where the result is awaited
                result.set_exception(error)

        self._writes[result] = _DiskWrite(executor, lambda: func(*args))
        self.call_later(self.sync_s * fault.slowdown, complete)
        return result

    def lose_power(self, executor: Executor, random: Callable[[], float]) -> None:
        """End all writes in progress on a disk: each takes effect or is lost, as drawn by `random`."""
        for result, write in list(self._writes.items()):
            if write.executor is executor:
                del self._writes[result]
                if random() < POWER_LOSS_WRITTEN_PROBABILITY:
                    write.perform()
