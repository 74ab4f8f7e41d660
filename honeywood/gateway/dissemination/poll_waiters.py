"""Polls that are held until the store changes."""

from __future__ import annotations

import asyncio

TYPE_CHECKING = False
if TYPE_CHECKING:
    from asyncio import Future


class PollWaiters:
    """Wakes held polls in the order in which they arrived."""

    def __init__(self) -> None:
        """Initially no poll is held."""
        self._is_controller: dict[Future[None], bool] = {}  # by waiter; a dict keeps their order
        self._is_wake_scheduled = False

    async def wait(self, timeout_s: float, is_controller: bool) -> bool:
        """Waits for a change for at most `timeout_s` seconds; returns whether there was one."""
        waiter: Future[None] = asyncio.get_running_loop().create_future()
        self._is_controller[waiter] = is_controller
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
        finally:
            del self._is_controller[waiter]
        return waiter.done()

    def wake_all(self) -> None:
        """Wakes all held polls now."""
        self._wake(include_proxies=True)

    def wake_controllers_within(self, delay_s: float) -> None:
        """Wakes the polls of controllers after `delay_s` seconds, once for all changes until then."""
        if self._is_controller and not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            loop = next(iter(self._is_controller)).get_loop()
            loop.call_later(delay_s, self._wake_controllers)

    def _wake_controllers(self) -> None:
        self._is_wake_scheduled = False
        self._wake(include_proxies=False)

    def _wake(self, include_proxies: bool) -> None:
        for waiter, is_controller in list(self._is_controller.items()):
            if (include_proxies or is_controller) and not waiter.done():
                waiter.set_result(None)
