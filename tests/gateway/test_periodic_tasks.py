"""Periodic tasks continue after a step fails, and end when a step raises TaskFinished."""

import asyncio

from ward import test

from honeywood.gateway.errors import Unavailable
from honeywood.gateway.event_log import EventLog
from honeywood.gateway.periodic_tasks import PeriodicTasks, TaskFinished


class RecordingLog(EventLog):
    """Keeps what is logged."""

    def __init__(self):
        self.lines = []

    def info(self, event, min_interval_s=0.0, **fields):
        self.lines.append((event, fields["why"], fields["foreseen"]))


@test("a failure of a step is logged and the step runs again; TaskFinished ends the task")
def _():
    outcomes = [Unavailable("register", "no majority answers"), KeyError("n"), None, TaskFinished()]
    log, runs = RecordingLog(), []

    async def step():
        runs.append(outcome := outcomes[len(runs)])
        if outcome is not None:
            raise outcome

    async def run_tasks():
        tasks = PeriodicTasks(log)
        tasks.start(step, 0.0)
        await asyncio.gather(*tasks.tasks)
        await asyncio.sleep(0)
        assert not tasks.tasks

    asyncio.run(run_tasks())
    assert len(runs) == len(outcomes)
    assert log.lines == [
        ("periodic task failed", "Unavailable('register: no majority answers')", True),
        ("periodic task failed", "KeyError('n')", False),
    ]
