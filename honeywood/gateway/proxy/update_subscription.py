"""Gets updates as soon as there are any, by long polling of a relay or a controller."""

from __future__ import annotations

import asyncio

from honeywood.gateway.dissemination.backoff import FIRST
from honeywood.gateway.dissemination.publisher import HOLD, SMALL
from honeywood.gateway.dissemination.rendezvous import order
from honeywood.gateway.errors import CallFailed

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.dissemination.subscriber import Subscriber
    from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
    from honeywood.gateway.proxy.known_peers import KnownPeers

CONTROLLERS_ONLY_S = 1.0  # after the start, without a configuration: relays may just have started too


class UpdateSubscription:
    """Polls the nearest relay that answers, else a controller; each poll is held until there are updates."""

    def __init__(
        self,
        clock: Callable[[], float],
        settings: Settings,
        subscriber: Subscriber,
        peers: KnownPeers,
        configuration: ActiveConfiguration,
    ) -> None:
        """Of a proxy that starts now."""
        self.clock = clock
        self.settings = settings
        self.subscriber = subscriber
        self.peers = peers
        self.configuration = configuration
        self.started_at = self.answered_at = clock()

    async def poll_once(self) -> None:
        """Polls one peer after the other until one answers."""
        for ip, port in self._candidates():
            try:
                answer = await self.subscriber.ask(ip, port, HOLD)
            except CallFailed:
                continue
            self.answered_at = self.clock()
            await asyncio.sleep(min(HOLD, answer.later_s or 0.0))
            return
        await asyncio.sleep(FIRST)

    def _candidates(self) -> list[tuple[str, int]]:
        """The addresses to poll, in order: relays, then controllers, without those in backoff."""
        now, backoff = self.clock(), self.subscriber.backoff
        starting = self.configuration.table is None and now - self.started_at < CONTROLLERS_ONLY_S
        relays = [] if starting else [ip for ip in self.peers.relays if not backoff.rest(ip, now)]
        controllers = backoff.fit(order(self.peers.controllers, self.settings.node), now)
        found = [(ip, self.settings.proxy_port) for ip in relays]
        return found + [(ip, self.settings.controller_port) for ip in controllers]

    def max_poll_bytes(self) -> int | None:
        """The limit on answers to other polls, None where there is none.

        It is small while this subscription receives the first configuration: each controller that is polled
        besides would send all that it has once more.
        """
        is_answered = self.clock() - self.answered_at < HOLD
        return SMALL if self.configuration.table is None and is_answered else None
