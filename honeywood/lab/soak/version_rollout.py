"""Rolls out a new version during a soak test, as the users' platform does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from honeywood.gateway.rollout.record import RolloutState
from honeywood.lab.soak.machine import SoakMachine
from honeywood.lab.soak.operator_client import OperatorClient
from honeywood.lab.soak.record import Record, RolloutObservation
from honeywood.lab.soak.version_plan import NEW_VERSION, VersionPlan

if TYPE_CHECKING:
    from honeywood.gateway.rpc.client import JsonObject

POLL_INTERVAL_S = 0.2
DRAIN_DELAY_S = 1.0  # after a rollback, before the new version's machines say that they are draining
DRAINING = "draining"


class VersionRollout:
    """Starts the new version's machines, orders the rollout, and stops the machines that it leaves behind."""

    def __init__(
        self,
        plan: VersionPlan,
        record: Record,
        operator: OperatorClient,
        earlier_machines: Sequence[SoakMachine],
        new_machines: Sequence[SoakMachine],
        clock: Callable[[], float],
    ) -> None:
        """Both kinds of machines are those of the plan's service; the new ones are not open yet."""
        self._plan = plan
        self._record = record
        self._operator = operator
        self._earlier_machines = earlier_machines
        self._new_machines = new_machines
        self._clock = clock
        self.started_machines: list[SoakMachine] = []
        """The new machines that have started, which send heartbeats."""

    async def run(self, traffic_s: float) -> None:
        """Carry out the plan; return when the rollout has ended, or after `traffic_s` seconds."""
        end = self._clock() + traffic_s
        await asyncio.sleep(self._plan.order_at_s)
        observation = RolloutObservation(
            self._plan.service, NEW_VERSION, self._plan.defect, self._clock(), self._plan.duration_s
        )
        self._record.rollout = observation
        await self._start_machines()
        defect = asyncio.get_running_loop().call_later(self._plan.defect_delay_s, self._begin_defect)
        try:
            await self._order()
            await self._follow(observation, end)
        finally:
            defect.cancel()

    async def _start_machines(self) -> None:
        for machine in self._new_machines:
            await machine.open()
            self.started_machines.append(machine)

    def _begin_defect(self) -> None:
        for machine in self._new_machines:
            machine.faults = self._plan.faults

    async def _order(self) -> None:
        body: JsonObject = {
            "svc": self._plan.service,
            "to_ver": NEW_VERSION,
            "over_s": self._plan.duration_s,
        }
        if await self._operator.call("rollouts.start", body) is None:
            self._record.errors.append("the order of the rollout was not acknowledged")

    async def _follow(self, observation: RolloutObservation, end: float) -> None:
        """Read the rollout's state until it has ended, and then stop the machines that are not needed."""
        while self._clock() < end:
            answer = await self._operator.call(f"rollouts.read&of={self._plan.service}", {})
            if answer is not None:
                observation.state = answer["state"]
            if observation.state == RolloutState.DONE:
                for machine in self._earlier_machines:
                    machine.end()
                    machine.has_left = True
                return
            if observation.state == RolloutState.REVERTED:
                await asyncio.sleep(DRAIN_DELAY_S)
                for machine in self._new_machines:
                    machine.state = DRAINING
                return
            await asyncio.sleep(POLL_INTERVAL_S)
