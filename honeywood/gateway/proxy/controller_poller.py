"""Polls controllers in turn for updates that long polling missed, and sends them this proxy's reports."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeywood.gateway.dissemination.backoff import INITIAL_DELAY_S
from honeywood.gateway.dissemination.rendezvous import rank
from honeywood.gateway.dissemination.retired_machines import MAX_DISCONNECTED_S
from honeywood.gateway.errors import CallFailed
from honeywood.gateway.proxy.poll_interval import poll_interval_s

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.dissemination.messages import PollResponse
    from honeywood.gateway.dissemination.subscriber import Subscriber
    from honeywood.gateway.proxy.fleet_size import FleetSize
    from honeywood.gateway.proxy.known_peers import KnownPeers
    from honeywood.gateway.proxy.machine_revalidation import MachineRevalidation
    from honeywood.gateway.proxy.readiness import Readiness
    from honeywood.gateway.proxy.rollout_reports import RolloutReports
    from honeywood.gateway.proxy.update_subscription import UpdateSubscription
    from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy

MAX_CONSECUTIVE_POLLS = 8  # of one controller while it has more to send


@dataclass(frozen=True, slots=True)
class PollResult:
    """When a controller was last polled, and its response, None if there was none."""

    polled_at: float
    response: PollResponse | None


@dataclass(slots=True, eq=False)
class ControllerPoller:
    """Polls the controllers in turn, and at once the next one if a controller is not in quorum.

    This way a controller that is partitioned from the others is never the only one polled for long.
    `on_no_answer` is called if no controller in quorum responds.
    """

    clock: Callable[[], float]
    random: Random
    settings: Settings
    subscriber: Subscriber
    subscription: UpdateSubscription
    peers: KnownPeers
    fleet: FleetSize
    traffic_policy: RolloutTrafficPolicy
    reports: RolloutReports
    readiness: Readiness
    revalidation: MachineRevalidation
    on_no_answer: Callable[[], None]
    poll_count: int = 0  # calls of `poll_once` since the start

    async def poll_once(self) -> None:
        """Polls until a controller in quorum has responded, then waits for the poll interval."""
        self.poll_count += 1
        for ip in self._candidates():
            result = await self._poll(ip)
            if result.response is not None and result.response.in_quorum:
                self._record_contact(result.polled_at, result.response)
                await asyncio.sleep(self._interval_s())
                return
        self.on_no_answer()
        await asyncio.sleep(INITIAL_DELAY_S)

    def _candidates(self) -> list[str]:
        """Returns the controllers that are not in backoff, beginning with another one at each call."""
        ring = rank(self.peers.controllers, self.settings.node)
        start = self.poll_count % len(ring)
        candidates: list[str] = self.subscriber.backoff.available(ring[start:] + ring[:start], self.clock())
        return candidates

    async def _poll(self, ip: str) -> PollResult:
        """Polls a controller, and again while it has more to send."""
        for _ in range(MAX_CONSECUTIVE_POLLS):
            # Taken before the poll: a response may have waited long while this process was suspended.
            polled_at = self.clock()
            try:
                response = await self.subscriber.poll(ip, self.settings.controller_port, 0.0)
            except CallFailed:
                return PollResult(polled_at, None)
            self._record_fleet(ip, response)
            if not response.has_more or self.subscription.max_poll_bytes() is not None:
                break
        return PollResult(polled_at, response)

    def _record_fleet(self, ip: str, response: PollResponse) -> None:
        """Records what a controller reports about the fleet, and which of this proxy's reports it has."""
        if response.fleet is None:
            return
        self.peers.relays = response.fleet.relays
        self.reports.acknowledge(ip, response.counts_number or 0)
        self.fleet.report(ip, response.fleet.proxy_count)

    def _record_contact(self, polled_at: float, response: PollResponse) -> None:
        """Records that a controller in quorum responded to a poll that was sent at `polled_at`."""
        if response.is_complete:  # otherwise the end of a rollout's stage may not have been sent yet
            out_of_contact_s = polled_at - self.traffic_policy.controller_contact_at
            if self.readiness.quorum_contacted and out_of_contact_s > MAX_DISCONNECTED_S:
                self.revalidation.start()
            self.traffic_policy.controller_contact_at = polled_at
        self.readiness.quorum_contacted = True

    def _interval_s(self) -> float:
        return poll_interval_s(
            self.traffic_policy.has_active_rollout,
            self.fleet.count(),
            len(self.peers.controllers),
            self.random.random(),
        )
