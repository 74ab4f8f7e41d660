"""Receives updates without delay, by long polling of a relay or a controller."""

from __future__ import annotations

import asyncio

from honeywood.gateway.dissemination.backoff import INITIAL_DELAY_S
from honeywood.gateway.dissemination.publisher import MAX_HOLD_S, UNPACED_BYTES
from honeywood.gateway.dissemination.rendezvous import rank
from honeywood.gateway.errors import CallFailed

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.dissemination.subscriber import Subscriber
    from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
    from honeywood.gateway.proxy.known_peers import KnownPeers

# After the start, in which only controllers are polled while there is no configuration: the relays may have
# just started too.
CONTROLLERS_ONLY_S = 1.0


class UpdateSubscription:
    """Polls the nearest relay that responds, or else a controller. A poll is held until there are updates."""

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
        """Polls one peer after the other until one responds."""
        for ip, port in self._candidates():
            try:
                response = await self.subscriber.poll(ip, port, MAX_HOLD_S)
            except CallFailed:
                continue
            self.answered_at = self.clock()
            await asyncio.sleep(min(MAX_HOLD_S, response.retry_after_s or 0.0))
            return
        await asyncio.sleep(INITIAL_DELAY_S)

    def _candidates(self) -> list[tuple[str, int]]:
        """Returns the addresses to poll, in order: relays, then controllers, without peers in backoff."""
        now, backoff = self.clock(), self.subscriber.backoff
        starting = self.configuration.table is None and now - self.started_at < CONTROLLERS_ONLY_S
        relays = [] if starting else [ip for ip in self.peers.relays if not backoff.remaining_s(ip, now)]
        controllers = backoff.available(rank(self.peers.controllers, self.settings.node), now)
        candidates = [(ip, self.settings.proxy_port) for ip in relays]
        return candidates + [(ip, self.settings.controller_port) for ip in controllers]

    def max_poll_bytes(self) -> int | None:
        """Returns the limit on the response to a poll of another loop, None for no limit.

        The limit is small while this subscription receives the first configuration. Otherwise each controller
        that is polled at the same time would send all its records as well.
        """
        is_answered = self.clock() - self.answered_at < MAX_HOLD_S
        return UNPACED_BYTES if self.configuration.table is None and is_answered else None
