"""Simulated processes on one event loop.

Each handle (a callback that is due) belongs to the process whose task made it, so a process can be delayed
alone: frozen, slowed, or terminated with all that it had in progress.
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

CURRENT: ContextVar[Process | None] = ContextVar("process", default=None)
"""The process whose code runs; None for the world's own."""

FROZEN = inf
FULL_SPEED = 1.0
HANDLE_S = 0.0002
"""That a handle takes at full speed; a slowed process runs one in so many times this."""


class Process:
    """One incarnation of a program.

    `slowdown` is FULL_SPEED, how many times slower it runs, or FROZEN. `tasks` are in the order in which they
    were made; a set's order would be that of addresses.
    """

    def __init__(self, loop: Loop, name: str) -> None:
        """A process that runs nothing yet."""
        self.name = name
        self.slowdown = FULL_SPEED
        self.tasks: WeakKeyDictionary[asyncio.Task[Any], None] = WeakKeyDictionary()
        self._loop = loop
        self._deferred_callbacks: deque[Handle] = deque()
        self._deferred_timers: list[Timer] = []
        self._next_turn: asyncio.Handle | None = None
        self._context = Context()
        self._context.run(CURRENT.set, self)

    def run(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine as this process: return its task."""
        return self._loop.create_task(work, context=self._context.copy())

    def defer_callback(self, handle: Handle) -> None:
        """Keep a callback that is due while the process is frozen or slowed."""
        self._deferred_callbacks.append(handle)
        self._schedule_turn()

    def defer_timer(self, timer: Timer) -> None:
        """Keep a timer that is due while the process is frozen or slowed."""
        self._deferred_timers.append(timer)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if self.slowdown != FROZEN and self._next_turn is None:
            self._take_turn()

    def _take_turn(self) -> None:
        """Run one handle now, and the next when a slowed process gets to it."""
        self._next_turn = None
        if self._deferred_callbacks:
            self._deferred_callbacks.popleft().run_now()
        elif self._deferred_timers:
            self._deferred_timers.pop(0).run_now()
        else:
            return
        delay_s = HANDLE_S * self.slowdown
        self._next_turn = self._loop.call_later(delay_s, self._take_turn, context=Context())

    def set_slowdown(self, slowdown: float) -> None:
        """Freeze the process, slow it, or let it run at full speed.

        At full speed all that came due runs at once: first what arrived, then what its clock is due for, as a
        real loop does.
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
        """Cancel all that it has in progress."""
        for task in list(self.tasks):
            task.cancel()
        self.set_slowdown(FULL_SPEED)
