"""State that all rules share: the violations, and when a program, the core or a link was last disturbed.

The core is the group of all controllers.
"""

from __future__ import annotations

from collections.abc import Mapping

from honeywood.lab.emulator.rules.rule import Rule, Violation


class RuleContext:
    """The disturbances and violations of a day.

    `core_disturbed_at` is the time of the last disturbance of the core, `links_disturbed_at` that of the last
    disturbance of any link.
    """

    def __init__(self, bounds: Mapping[str, float]) -> None:
        """Create a context without violations; `bounds` are the bounds in the settings file."""
        self.bounds = bounds
        self.violations: list[Violation] = []
        self.core_disturbed_at = 0.0
        self.links_disturbed_at = 0.0
        self._disturbed_at: dict[str, float] = {}

    def report(self, rule: Rule, now: float, details: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, round(now, 3), details))

    def record_disturbance(self, now: float, name: str, affects_core: bool) -> None:
        """Record that a program is disturbed, and the core as well if `affects_core`."""
        self._disturbed_at[name] = now
        if affects_core:
            self.core_disturbed_at = now

    def record_link_disturbance(self, now: float) -> None:
        """Record that a link is disturbed."""
        self.links_disturbed_at = now

    def disturbed_at(self, name: str) -> float:
        """Return the time of the latest disturbance of a program, 0 if there was none."""
        return self._disturbed_at.get(name, 0.0)

    def is_in_contact(self, now: float, proxy: str) -> bool:
        """Return whether neither the proxy nor the core was disturbed in the last contact_s seconds."""
        since = now - self.bounds["contact_s"]
        return self.disturbed_at(proxy) < since and self.core_disturbed_at < since

    def undisturbed_since(self) -> float:
        """Return the time since which acknowledgements are due again."""
        return max(self.core_disturbed_at + self.bounds["contact_s"], self.links_disturbed_at)
