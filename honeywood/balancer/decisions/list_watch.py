"""Decides when to request the server list, if discovery does not push it."""

from __future__ import annotations

from math import inf

from honeywood.balancer.model import SECOND

TYPE_CHECKING = False
if TYPE_CHECKING:
    from random import Random

    from honeywood.balancer.interface import Host
    from honeywood.balancer.model import Time
    from honeywood.balancer.settings import Settings

MAX_REQUEST_INTERVAL = 3 * SECOND


class ListWatch:
    """Repeats the request only while no watch is established, so that discovery is not flooded."""

    def __init__(self, settings: Settings, host: Host, random: Random) -> None:
        """The first request is sent at the first on_timer."""
        self._host, self._random = host, random
        self._on_request = settings.list_on_request
        self._request_interval = min(
            MAX_REQUEST_INTERVAL, settings.list_request_window // 3 or MAX_REQUEST_INTERVAL
        )
        self._request_at = -inf
        self.requested = self.established = False

    @property
    def is_stale(self) -> bool:
        """Whether the list has to be requested and no watch is established."""
        return self._on_request and not self.established

    def on_server_list(self) -> None:
        """Consider the watch established if the list was requested before."""
        self.established = self.requested

    def on_failure(self, now: Time) -> None:
        """Schedule the next request after a random delay.

        Balancers that were refused at the same time must not retry at the same time: discovery would again
        serve only a few of them.
        """
        self.established = False
        self._request_at = now + int(self._request_interval * self._random.random())

    def on_timer(self, now: Time) -> None:
        """Request the list if a request is due."""
        if self._on_request and not self.established and now >= self._request_at:
            self.requested, self._request_at = True, now + self._request_interval
            self._host.watch_servers()
