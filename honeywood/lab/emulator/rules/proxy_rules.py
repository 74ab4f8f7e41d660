"""Rules of the readiness of each proxy, its configuration, and the machines that it treats as ready."""

from __future__ import annotations

from collections import Counter
from collections.abc import Set

from honeywood.lab.emulator.rules.context import RuleContext
from honeywood.lab.emulator.rules.order_rules import NO_VERSION, OrderRules
from honeywood.lab.emulator.rules.rule import Rule

MAX_UNREADY_SHARE = 0.125
"""The maximum share of a proxy's readiness checks while in contact that may fail."""
MIN_CHECKS = 40
"""The readiness of a proxy with fewer checks while in contact is not assessed."""


class ProxyRules:
    """Checks proxies; `retired_at` holds the time at which each machine's end was acknowledged, by its id."""

    def __init__(self, context: RuleContext, orders: OrderRules) -> None:
        """Check the proxies of a day; `orders` provides the versions that were acknowledged and when."""
        self.retired_at: dict[str, float] = {}
        self._context = context
        self._orders = orders
        self._last_versions: dict[tuple[str, int], int] = {}  # by proxy and incarnation
        self._checks: Counter[str] = Counter()  # by proxy, while in contact
        self._unready_checks: Counter[str] = Counter()

    def check_version(self, now: float, proxy: str, incarnation: int, version: int | None) -> None:
        """Check the version of the configuration that a proxy uses; None if it has none."""
        previous = self._last_versions.get((proxy, incarnation), NO_VERSION)
        version = NO_VERSION if version is None else version
        if version < previous:
            self._context.report(Rule.MONOTONIC_VERSION, now, f"{proxy} went from {previous} to {version}")
        self._last_versions[proxy, incarnation] = version
        due = self._orders.newest_acknowledged(now - self._context.bounds["apply_s"])
        if version == NO_VERSION or due is None or version >= due:
            return
        if self._context.is_in_contact(now, proxy):
            self._context.report(Rule.ACTIVATION, now, f"{proxy} uses {version}, not {due}")

    def on_missing_route(self, now: float, proxy: str, path: bytes) -> None:
        """Check a proxy without a route for a path of a version that was acknowledged apply_s ago."""
        if self._context.is_in_contact(now, proxy):
            self._context.report(Rule.ROUTES, now, f"{proxy} has no route for {path.decode()}")

    def check_readiness(self, now: float, proxy: str, is_ready: bool) -> None:
        """Record whether a proxy reports that it is ready; a proxy that is down is not ready."""
        if self._context.is_in_contact(now, proxy):
            self._checks[proxy] += 1
            self._unready_checks[proxy] += not is_ready

    def on_retired(self, now: float, machine_id: str) -> None:
        """Record that a machine's end was acknowledged."""
        self.retired_at.setdefault(machine_id, now)

    def check_ready_machines(self, now: float, proxy: str, machine_ids: Set[str]) -> None:
        """Check the machines that a proxy treats as ready."""
        if not self.retired_at or not self._context.is_in_contact(now, proxy):
            return
        for machine_id in self.retired_at.keys() & machine_ids:
            if now > self.retired_at[machine_id] + self._context.bounds["apply_s"]:
                self._context.report(Rule.RETIREMENT, now, f"{proxy} treats {machine_id} as ready")
                del self.retired_at[machine_id]

    def close(self, now: float) -> None:
        """Check the share of the readiness checks in which each proxy was not ready."""
        for proxy, checks in self._checks.items():
            unready = self._unready_checks[proxy]
            if checks >= MIN_CHECKS and unready > MAX_UNREADY_SHARE * checks:
                self._context.report(
                    Rule.READINESS, now, f"{proxy} was not ready at {unready} of {checks} checks"
                )
