"""Tasks that run a step periodically for as long as the program runs."""

from __future__ import annotations

import asyncio

from honeywood.gateway.errors import GatewayError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from honeywood.gateway.event_log import EventLog

    Step = Callable[[], Awaitable[None]]

FAILURE_LOG_INTERVAL_S = 1.0


class TaskFinished(Exception):
    """Raised by a step to end its task."""


class PeriodicTasks:
    """The periodic tasks of a program."""

    def __init__(self, log: EventLog) -> None:
        """Create without tasks; failures of steps are written to `log`."""
        self.log = log
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, step: Step, interval_s: float) -> None:
        """Run `step` repeatedly, with a pause of `interval_s` seconds after each run.

        The step ends its task by raising TaskFinished.
        """
        task = asyncio.get_running_loop().create_task(self._repeat(step, interval_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _repeat(self, step: Step, interval_s: float) -> None:
        while True:
            try:
                await step()
            except TaskFinished:
                return
            # Every exception of a step is caught, expected or not: other parts rely on the task, and the
            # next run may succeed. Exceptions are not hidden: they are logged with their types.
            except Exception as error:
                self.log.info(
                    "periodic task failed",
                    min_interval_s=FAILURE_LOG_INTERVAL_S,
                    step=step.__qualname__,
                    why=repr(error),
                    foreseen=isinstance(error, GatewayError),
                )
            await asyncio.sleep(interval_s)
