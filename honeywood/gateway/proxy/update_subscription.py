"""Receives updates without delay, by long polling of a relay or a controller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeywood.gateway.dissemination.backoff import INITIAL_DELAY_S
from honeywood.gateway.dissemination.publisher import MAX_HOLD_S, UNPACED_BYTES
from honeywood.gateway.dissemination.rendezvous import rank
from honeywood.gateway.errors import CallFailed

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.dissemination.messages import PollResponse
    from honeywood.gateway.dissemination.subscriber import Subscriber
    from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
    from honeywood.gateway.proxy.known_peers import KnownPeers

# After the start, in which only controllers are polled while there is no configuration: the relays may have
# just started too.
CONTROLLERS_ONLY_S = 1.0


@dataclass(frozen=True, slots=True)
class PollTarget:
    """The address of a relay or a controller."""

    ip: str
    port: int
    is_relay: bool


class UpdateSubscription:
    """Polls the nearest relay that responds, or else a controller. A poll is held until there are updates.

    A proxy without a configuration is not held by a relay that has none either, and goes on to the next peer
    from one whose link is busy.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        settings: Settings,
        subscriber: Subscriber,
        peers: KnownPeers,
        configuration: ActiveConfiguration,
    ) -> None:
        """Builds the subscription of a proxy that starts now."""
        self.clock = clock
        self.settings = settings
        self.subscriber = subscriber
        self.peers = peers
        self.configuration = configuration
        self.started_at = self.answered_at = clock()

    async def poll_once(self) -> None:
        """Polls one peer after the other until one responds, and sends what this proxy still lacks."""
        for target in self._targets():
            try:
                response = await self.subscriber.poll(target.ip, target.port, self._hold_s(target))
            except CallFailed:
                continue
            self.answered_at = self.clock()
            if self._sends_configuration(target, response):
                await asyncio.sleep(min(MAX_HOLD_S, response.retry_after_s or 0.0))
                return
        await asyncio.sleep(INITIAL_DELAY_S)

    def _targets(self) -> list[PollTarget]:
        """Returns the peers to poll, in order: relays, then controllers, without peers in backoff."""
        now, backoff = self.clock(), self.subscriber.backoff
        starting = self._lacks_configuration and now - self.started_at < CONTROLLERS_ONLY_S
        relays = [] if starting else [ip for ip in self.peers.relays if not backoff.remaining_s(ip, now)]
        if self._lacks_configuration:
            relays = relays[:1]  # the others are asked by many, and may lack it as well
        controllers = backoff.available(rank(self.peers.controllers, self.settings.node), now)
        targets = [PollTarget(ip, self.settings.proxy_port, is_relay=True) for ip in relays]
        return targets + [PollTarget(ip, self.settings.controller_port, is_relay=False) for ip in controllers]

    @property
    def _lacks_configuration(self) -> bool:
        return self.configuration.table is None

    def _hold_s(self, target: PollTarget) -> float:
        """Returns for how many seconds a peer may hold a poll while it has no updates."""
        return 0.0 if target.is_relay and self._lacks_configuration else MAX_HOLD_S

    def _sends_configuration(self, target: PollTarget, response: PollResponse) -> bool:
        """Whether this proxy has a configuration after a response, or should poll the same peer for it."""
        if not self._lacks_configuration or response.has_more:
            return True
        return not target.is_relay and response.retry_after_s is None

    def max_poll_bytes(self) -> int | None:
        """Returns the limit on the response to a poll of another loop, None for no limit.

        The limit is small while this subscription receives the first configuration. Otherwise each controller
        that is polled at the same time would send all its records as well.
        """
        is_answered = self.clock() - self.answered_at < MAX_HOLD_S
        return UNPACED_BYTES if self._lacks_configuration and is_answered else None
