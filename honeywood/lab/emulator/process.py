"""Simulated processes on one event loop.

Each handle (a callback that is due) belongs to the process whose task created it. A single process can
therefore be frozen, slowed, or terminated with all of its tasks while the others run on.
"""

from __future__ import annotations

import asyncio
from collections import deque
from contextvars import Context, ContextVar
from math import inf
from typing import TYPE_CHECKING, TypeVar
from weakref import WeakKeyDictionary

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from honeywood.lab.emulator.handles import Handle, Timer
    from honeywood.lab.emulator.loop import Loop

T = TypeVar("T")

CURRENT_PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)
"""The process whose code is running; None for code of the simulation itself."""

FROZEN = inf
FULL_SPEED = 1.0
HANDLE_DURATION_S = 0.0002
"""The simulated time per handle, multiplied by the slowdown of a slowed process."""


class Process:
    """The process of one incarnation of a program.

    `slowdown` is FULL_SPEED, FROZEN, or the factor by which the process runs more slowly. `tasks` is an
    ordered mapping and keeps the order of creation; the order of a set would depend on memory addresses.
    """

    def __init__(self, loop: Loop, name: str) -> None:
        """Create a process that runs nothing yet."""
        self.name = name
        self.slowdown = FULL_SPEED
        self.tasks: WeakKeyDictionary[asyncio.Task[Any], None] = WeakKeyDictionary()
        self._loop = loop
        self._deferred_callbacks: deque[Handle] = deque()
        self._deferred_timers: list[Timer] = []
        self._next_turn: asyncio.Handle | None = None
        self._context = Context()
        self._context.run(CURRENT_PROCESS.set, self)

    def run(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine in this process and return its task."""
        return self._loop.create_task(work, context=self._context.copy())

    def defer_callback(self, handle: Handle) -> None:
        """Defer a callback that is due while the process is frozen or slowed."""
        self._deferred_callbacks.append(handle)
        self._schedule_turn()

    def defer_timer(self, timer: Timer) -> None:
        """Defer a timer that is due while the process is frozen or slowed."""
        self._deferred_timers.append(timer)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if self.slowdown != FROZEN and self._next_turn is None:
            self._take_turn()

    def _take_turn(self) -> None:
        """Run one deferred handle now and schedule the next one after the time that a slowed handle takes."""
        self._next_turn = None
        if self._deferred_callbacks:
            self._deferred_callbacks.popleft().run_now()
        elif self._deferred_timers:
            self._deferred_timers.pop(0).run_now()
        else:
            return
        delay_s = HANDLE_DURATION_S * self.slowdown
        self._next_turn = self._loop.call_later(delay_s, self._take_turn, context=Context())

    def set_slowdown(self, slowdown: float) -> None:
        """Freeze the process, slow it, or return it to full speed.

        On return to full speed all deferred handles run at once, callbacks before timers, as in a real loop
        after a pause: a response that has arrived is processed before its time-out.
        """
        self.slowdown = slowdown
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None
        if slowdown == FULL_SPEED:
            self._loop.run_soon([*self._deferred_callbacks, *self._deferred_timers])
            self._deferred_callbacks, self._deferred_timers = deque(), []
        elif slowdown != FROZEN:
            self._next_turn = self._loop.call_soon(self._take_turn, context=Context())

    def terminate(self) -> None:
        """Cancel all tasks of the process."""
        for task in list(self.tasks):
            task.cancel()
        self.set_slowdown(FULL_SPEED)
