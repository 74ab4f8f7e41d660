"""The controllers and relays that a proxy polls for updates."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable


class KnownPeers:
    """The addresses of `controllers`, with the seeds first, and of `relays`, with the nearest first."""

    def __init__(self, seeds: Iterable[str]) -> None:
        """Starts with `seeds`, the controllers of the settings file, which are never removed."""
        self.seeds = tuple(seeds)
        self.controllers = list(self.seeds)
        self.relays: list[str] = []

    def add_controllers(self, ips: Iterable[str]) -> None:
        """Adds the controllers that are not known yet."""
        self.controllers += [ip for ip in ips if ip not in self.controllers]

    def remove_controllers(self, ips: Iterable[str]) -> set[str]:
        """Removes controllers unless they are seeds; returns those of `ips` that are no seeds."""
        removed = set(ips) - set(self.seeds)
        self.controllers = [ip for ip in self.controllers if ip not in removed]
        return removed
