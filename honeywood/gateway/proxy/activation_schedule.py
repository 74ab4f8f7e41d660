"""Limits the share of the processor that the activation of configurations takes.

Each version of a large configuration takes long to read. Versions that follow each other quickly are passed
on to other proxies at once, but only the newest one is activated after a pause.
"""

from __future__ import annotations

import asyncio

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

MAX_ACTIVATION_SHARE = 0.1  # of the time
MAX_PAUSE_SHARE = 0.25  # of the time within which a version must be in force


class ActivationSchedule:
    """Activates packed configurations, each as soon as the pause after the one before it is over."""

    def __init__(self, clock: Callable[[], float], activate: Callable[[str], None], apply_s: float) -> None:
        """`activate(packed)` puts a configuration into effect; `apply_s` is the time allowed for that."""
        self._clock, self._activate = clock, activate
        self._max_pause_s = MAX_PAUSE_SHARE * apply_s
        self._pause_ends_at = 0.0
        self._pending: str | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a configuration has been received and not been activated yet."""
        return self._pending is not None

    def submit(self, packed: str) -> None:
        """Activate a configuration now or after the pause; it replaces one that waits."""
        remaining_s = self._pause_ends_at - self._clock()
        if self._pending is not None:
            self._pending = packed
        elif remaining_s <= 0:
            self._run(packed)
        else:
            self._pending = packed
            asyncio.get_running_loop().call_later(remaining_s, self._run_pending)

    def _run_pending(self) -> None:
        packed, self._pending = self._pending, None
        if packed is not None:
            self._run(packed)

    def _run(self, packed: str) -> None:
        started_at = self._clock()
        try:
            self._activate(packed)
        finally:
            ended_at = self._clock()
            pause_s = (ended_at - started_at) / MAX_ACTIVATION_SHARE
            self._pause_ends_at = ended_at + min(self._max_pause_s, pause_s)
