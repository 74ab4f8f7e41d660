"""Rules of operators' orders and reads: orders are acknowledged in time and durable, reads are consistent."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from http import HTTPStatus

from honeywood.lab.emulator.rules.context import RuleContext
from honeywood.lab.emulator.rules.orders import ConfigurationOrder, Order, RolloutOrder
from honeywood.lab.emulator.rules.rule import Rule

ACTIVE = "active"
"""The state of a rollout until it has an outcome."""
NO_VERSION = -1


class OrderRules:
    """Observes the orders that operators send, their acknowledgements, and the reads of operators.

    `pending` are the orders that await an acknowledgement, with the time at which they were sent.
    `highest_seen` is the highest version number of a configuration that was acknowledged or read.
    """

    def __init__(self, context: RuleContext) -> None:
        """Observe the orders of a day; `context` provides the time since which acknowledgements are due."""
        self.pending: dict[Order, float] = {}
        self.highest_seen = NO_VERSION
        self._context = context
        self._newest_sent = NO_VERSION
        self._acknowledged_contents: dict[int, dict[str, bool]] = {}
        self._previous_versions: dict[RolloutOrder, set[str]] = {}
        self._acknowledgements: list[tuple[float, int]] = []
        self._rollout_states: defaultdict[str, dict[str, str]] = defaultdict(dict)
        self._outcomes: dict[RolloutOrder, str] = {}

    def services(self) -> set[str]:
        """Return the services for which rollouts were ordered."""
        return {order.service for order in self._previous_versions}

    def on_sent(self, now: float, order: Order) -> None:
        """Record that an order is sent, for the first time or again.

        The predecessors of a rollout are the rollouts of its service that were known when it was first sent.
        """
        if isinstance(order, ConfigurationOrder):
            self._newest_sent = max(self._newest_sent, order.number)
            contents = self._acknowledged_contents.setdefault(order.number, {})
            if order.content not in contents:
                contents[order.content] = False
                self.pending[order] = now
        elif order not in self._previous_versions:
            self.pending[order] = now
            known = self._rollout_states[order.service]
            self._previous_versions[order] = {version for version, state in known.items() if state}

    def on_abandoned(self, order: Order) -> None:
        """Record that an order is no longer sent."""
        self.pending.pop(order, None)

    def on_rejected(self, now: float, order: Order, status: int) -> None:
        """Check the permanent rejection of an order."""
        self.pending.pop(order, None)
        if isinstance(order, ConfigurationOrder) and status == HTTPStatus.PRECONDITION_FAILED:
            contents = self._acknowledged_contents[order.number]
            if len(contents) > 1 and not contents[order.content]:
                return
        self._context.report(Rule.ACCEPTANCE, now, f"{order} was rejected with status {status}")

    def on_acknowledged(self, now: float, order: Order) -> None:
        """Record that an order is acknowledged, for the first time or again."""
        self.pending.pop(order, None)
        if isinstance(order, RolloutOrder):
            self._rollout_states[order.service].setdefault(order.version, ACTIVE)
        else:
            self._on_configuration_acknowledged(now, order)

    def _on_configuration_acknowledged(self, now: float, order: ConfigurationOrder) -> None:
        self._acknowledgements.append((now, order.number))
        self.highest_seen = max(self.highest_seen, order.number)
        contents = self._acknowledged_contents[order.number]
        contents[order.content] = True
        for other in contents:  # the content that was not chosen needs no acknowledgement
            self.pending.pop(ConfigurationOrder(order.number, other), None)
        if order.number >= self._newest_sent and sum(contents.values()) > 1:
            details = f"two contents were acknowledged for version {order.number}"
            self._context.report(Rule.UNIQUE_VERSION, now, details)

    def newest_acknowledged(self, before: float) -> int | None:
        """Return the highest version number acknowledged before the given time; None if there is none."""
        return max((number for at, number in self._acknowledgements if at < before), default=None)

    def check_pending(self, now: float) -> None:
        """Report orders that should have been acknowledged by now."""
        undisturbed = self._context.undisturbed_since()
        for order, sent_at in list(self.pending.items()):
            if now - max(sent_at, undisturbed) > self._context.bounds["ack_s"]:
                details = f"{order}, sent at {sent_at:.2f}, undisturbed since {undisturbed:.2f}"
                self._context.report(Rule.ACKNOWLEDGEMENT, now, details)
                del self.pending[order]

    def known_rollout_states(self, service: str) -> dict[str, str]:
        """Return the known states of a service's rollouts by version; reads that begin now must agree."""
        return dict(self._rollout_states[service])

    def on_read(
        self, now: float, highest_before: int, number: int | None, content: str | None, controller: str
    ) -> None:
        """Check the result of a read of the configuration.

        `highest_before` is the value of `highest_seen` when the read began. `number` and `content` are None
        if the controller responded that there is no configuration.
        """
        number = NO_VERSION if number is None else number
        if number < highest_before:
            details = f"{controller} returned version {number} after {highest_before}"
            self._context.report(Rule.MONOTONIC_READS, now, details)
        contents = self._acknowledged_contents.get(number, {})
        acknowledged = [
            known_content for known_content, is_acknowledged in contents.items() if is_acknowledged
        ]
        if len(acknowledged) == 1 and content != acknowledged[0] and number == self._newest_sent:
            details = f"{controller} returned an unacknowledged content for version {number}"
            self._context.report(Rule.MONOTONIC_READS, now, details)
        self.highest_seen = max(self.highest_seen, number)

    def on_rollout_read(
        self,
        now: float,
        known_before: Mapping[str, str],
        read: RolloutOrder,
        state: str,
        controller: str,
    ) -> None:
        """Check the result of a read of a rollout.

        `known_before` is the value of `known_rollout_states` when the read began.
        """
        superseded = any(
            read.version in self._previous_versions[RolloutOrder(read.service, later)]
            for later in known_before
        )
        reopened = state == ACTIVE and known_before.get(read.version, ACTIVE) != ACTIVE
        if superseded or reopened:
            details = f"{controller} returned {read.service} {read.version} {state} after {known_before}"
            self._context.report(Rule.MONOTONIC_READS, now, details)
        states = self._rollout_states[read.service]
        known = states.get(read.version, ACTIVE)
        states[read.version] = state if known == ACTIVE else known
        if state != ACTIVE:
            self._check_outcome(now, read, state)

    def on_no_rollout_read(
        self, now: float, known_before: Mapping[str, str], service: str, controller: str
    ) -> None:
        """Check a read of a rollout that was answered with the statement that there is none."""
        if known_before:
            details = f"{controller} returned no rollout of {service} after {known_before}"
            self._context.report(Rule.MONOTONIC_READS, now, details)

    def _check_outcome(self, now: float, order: RolloutOrder, outcome: str) -> None:
        first = self._outcomes.setdefault(order, outcome)
        if first != outcome:
            details = f"{order.service} {order.version}: {first}, then {outcome}"
            self._context.report(Rule.SINGLE_OUTCOME, now, details)

    def close(self, now: float, read_back_version: int | None) -> None:
        """Check the version that was read at the end of the day; None if none was read."""
        newest = max([number for _, number in self._acknowledgements], default=None)
        if newest is not None and (read_back_version is None or read_back_version < newest):
            details = f"read version {read_back_version} at the end, acknowledged {newest}"
            self._context.report(Rule.DURABILITY, now, details)
