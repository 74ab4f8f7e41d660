"""What all rules share: the violations found, and when a program, the core or a link was last disturbed."""

from __future__ import annotations

from collections.abc import Mapping

from honeywood.lab.emulator.rules.rule import Rule, Violation


class RuleContext:
    """Disturbances and violations of a day.

    `core_disturbed_at` and `links_disturbed_at` are when the core, and any link, last were.
    """

    def __init__(self, bounds: Mapping[str, float]) -> None:
        """`bounds` are those of the settings file."""
        self.bounds = bounds
        self.violations: list[Violation] = []
        self.core_disturbed_at = 0.0
        self.links_disturbed_at = 0.0
        self._disturbed_at: dict[str, float] = {}

    def report(self, rule: Rule, now: float, details: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, round(now, 3), details))

    def disturb(self, now: float, name: str, affects_core: bool) -> None:
        """Record that a program is disturbed, and perhaps the core with it."""
        self._disturbed_at[name] = now
        if affects_core:
            self.core_disturbed_at = now

    def disturb_links(self, now: float) -> None:
        """Record that a link is disturbed."""
        self.links_disturbed_at = now

    def is_in_contact(self, now: float, proxy: str) -> bool:
        """Return whether neither a proxy nor the core was disturbed for contact_s."""
        since = now - self.bounds["contact_s"]
        return self._disturbed_at.get(proxy, 0.0) < since and self.core_disturbed_at < since

    def undisturbed_since(self) -> float:
        """Return since when acknowledgements are due."""
        return max(self.core_disturbed_at + self.bounds["contact_s"], self.links_disturbed_at)
