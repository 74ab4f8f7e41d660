"""The configuration that a proxy goes by."""

from __future__ import annotations

from honeywood.gateway.configuration.model import Limits
from honeywood.gateway.routing.route_table import RouteTable

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.model import Configuration


class ActiveConfiguration:
    """The newest configuration received.

    `table` is None until there is one; `limits` bound what clients may send.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """No configuration has been received."""
        self.clock = clock
        self.table: RouteTable | None = None
        self.limits = Limits()
        self.first_activated_at: float | None = None

    def activate(self, configuration: Configuration) -> None:
        """Another version takes effect."""
        self.table = RouteTable(configuration)
        self.limits = configuration.limits
        if self.first_activated_at is None:
            self.first_activated_at = self.clock()

    @property
    def version(self) -> int | None:
        """The version in effect, or None."""
        return None if self.table is None else self.table.version

    @property
    def version_text(self) -> str | None:
        """The version in hexadecimal digits, as operators write it."""
        return None if self.version is None else f"{self.version:08x}"

    def age_s(self) -> float:
        """The seconds since the first configuration took effect; 0 where there is none."""
        return 0.0 if self.first_activated_at is None else self.clock() - self.first_activated_at
