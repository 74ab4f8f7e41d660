"""The configuration that is in effect at a proxy."""

from __future__ import annotations

from honeywood.gateway.configuration.model import Limits
from honeywood.gateway.routing.route_table import RouteTable

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.model import Configuration


class ActiveConfiguration:
    """The newest configuration that the proxy has received.

    `table` holds its routes and is None until a configuration has been received. `limits` are the limits on
    clients' requests and connections. `first_activated_at` is when the first one took effect, None
    before.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without a configuration; `clock` returns monotonic seconds."""
        self.clock = clock
        self.table: RouteTable | None = None
        self.limits = Limits()
        self.first_activated_at: float | None = None

    def activate(self, configuration: Configuration) -> None:
        """Puts another version of the configuration into effect."""
        self.table = RouteTable(configuration)
        self.limits = configuration.limits
        if self.first_activated_at is None:
            self.first_activated_at = self.clock()

    @property
    def version(self) -> int | None:
        """The version in effect, or None without a configuration."""
        return None if self.table is None else self.table.version

    @property
    def version_text(self) -> str | None:
        """The version as eight hexadecimal digits, the form that operators use, or None."""
        return None if self.version is None else f"{self.version:08x}"

    def age_s(self) -> float:
        """Returns the seconds since the first configuration took effect, 0 without one."""
        return 0.0 if self.first_activated_at is None else self.clock() - self.first_activated_at
