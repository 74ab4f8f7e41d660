"""When the server list is asked for, where discovery does not push it."""

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
    """Asks again only while the watch is not known to stand, so that discovery is not flooded."""

    def __init__(self, settings: Settings, host: Host, random: Random) -> None:
        """The list is asked for at the first on_timer."""
        self._host, self._random = host, random
        self._on_request = settings.list_on_request
        self._request_interval = min(
            MAX_REQUEST_INTERVAL, settings.list_request_window // 3 or MAX_REQUEST_INTERVAL
        )
        self._request_at = -inf
        self.requested = self.established = False

    @property
    def is_stale(self) -> bool:
        """Whether the list is one that must be asked for, and does not come."""
        return self._on_request and not self.established

    def on_server_list(self) -> None:
        """What came answers a request, if there was one."""
        self.established = self.requested

    def on_failure(self, now: Time) -> None:
        """Ask again after a random wait.

        Balancers that were refused together must not come together again: the same few would be served.
        """
        self.established = False
        self._request_at = now + int(self._request_interval * self._random.random())

    def on_timer(self, now: Time) -> None:
        """Ask where it is due."""
        if self._on_request and not self.established and now >= self._request_at:
            self.requested, self._request_at = True, now + self._request_interval
            self._host.watch_servers()
