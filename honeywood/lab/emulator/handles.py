"""Handles of the simulated loop; they are deferred while their process is frozen or slowed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from honeywood.lab.emulator.process import CURRENT_PROCESS, FULL_SPEED

if TYPE_CHECKING:
    from contextvars import Context

    from honeywood.lab.emulator.process import Process


class Handle(asyncio.Handle):
    """A callback that is due at once."""

    __slots__ = ()
    if TYPE_CHECKING:
        _context: Context

    def _run(self) -> None:
        process = _delayed_process(self._context)
        if process is None:
            self.run_now()
        else:
            process.defer_callback(self)

    def run_now(self) -> None:
        """Run it, whatever its process does."""
        if not self._cancelled:
            asyncio.Handle._run(self)


class Timer(asyncio.TimerHandle):
    """A callback that is due at a certain time."""

    __slots__ = ()
    if TYPE_CHECKING:
        _context: Context
        _scheduled: bool

    def _run(self) -> None:
        process = _delayed_process(self._context)
        if process is None:
            self.run_now()
        else:
            process.defer_timer(self)

    def run_now(self) -> None:
        """Run it, whatever its process does."""
        if not self._cancelled:
            asyncio.TimerHandle._run(self)


def _delayed_process(context: Context) -> Process | None:
    """Return the process of a context if it is frozen or slowed; None if its handles may run at once."""
    process = context.get(CURRENT_PROCESS)
    if process is None or process.slowdown == FULL_SPEED:
        return None
    return process
