"""The controllers and relays from which a proxy gets updates."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable


class KnownPeers:
    """Addresses of `controllers`, seeds first, and of `relays`, the nearest first."""

    def __init__(self, seeds: Iterable[str]) -> None:
        """`seeds` are the controllers of the settings file; they are never removed."""
        self.seeds = tuple(seeds)
        self.controllers = list(self.seeds)
        self.relays: list[str] = []

    def add_controllers(self, ips: Iterable[str]) -> None:
        """Takes controllers that are not known yet."""
        self.controllers += [ip for ip in ips if ip not in self.controllers]

    def remove_controllers(self, ips: Iterable[str]) -> set[str]:
        """Removes controllers that are not seeds; those of `ips` that are none."""
        removed = set(ips) - set(self.seeds)
        self.controllers = [ip for ip in self.controllers if ip not in removed]
        return removed
