"""Invariants of a running proxy, checked while it runs. Violations are counted and reported, nothing else.

- No idempotent request is at an endpoint ABANDONED_WITHIN_S after its client's disconnect was noticed.
- No attempt starts for a client that has left, and none of a non-idempotent request while an earlier attempt
  may have run.
- The attempts in flight are those that endpoints count.
- An endpoint's connections are at least those that are idle or in use; while no request is open they are
  exactly these.
- The configuration in effect is the newest that has been received.

Sums of several parts don't change in one step. So what the periodic check finds counts once two checks in a
row have found it.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from honeywood.gateway.dissemination.keys import RecordKind

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from honeywood.gateway.proxy.program import Proxy
    from honeywood.gateway.routing.pending_request import PendingRequest

    Finding = tuple["Violation", str]  # and its details

ABANDONED_WITHIN_S = 0.25


class Violation(StrEnum):
    """An invariant that does not hold. The values stand in logs and in counters."""

    WORK_AFTER_DISCONNECT = "work for a client that left"
    ATTEMPT_AFTER_DISCONNECT = "attempt begun for a client that left"
    UNSAFE_RETRY = "unsafe attempt repeated"
    ATTEMPTS = "attempts out of balance"
    CONNECTIONS = "connections out of balance"
    CONFIGURATION = "configuration not in force"


class InvariantChecks:
    """The checks of one proxy; `violations` counts what did not hold."""

    def __init__(self, proxy: Proxy, on_violation: Callable[[Violation, str], None]) -> None:
        """`on_violation` gets each violation with its details."""
        self.proxy = proxy
        self.on_violation = on_violation
        self.violations: Counter[Violation] = Counter()
        self._suspected: set[Finding] = set()

    def attempt_starts(self, request: PendingRequest) -> None:
        """Checks a request whose next attempt is about to start."""
        if request.disconnect.happened:
            self._report(Violation.ATTEMPT_AFTER_DISCONNECT, _describe(request))
        if not request.route.idempotent and request.may_have_run:
            self._report(Violation.UNSAFE_RETRY, _describe(request))

    def check(self, now: float) -> None:
        """Checks the proxy's state; called periodically."""
        found = {*self._work_after_disconnect(now), *self._balances(), *self._configuration()}
        for violation, details in found & self._suspected:
            self._report(violation, details)
        self._suspected = found - self._suspected

    def _report(self, violation: Violation, details: str) -> None:
        self.violations[violation] += 1
        self.on_violation(violation, details)

    def _work_after_disconnect(self, now: float) -> Iterator[Finding]:
        for request, attempts in self.proxy.forwarder.sender.in_flight.items():
            left_at = request.disconnect.disconnected_at
            if not request.route.idempotent or left_at is None or now - left_at <= ABANDONED_WITHIN_S:
                continue
            if any(attempt.record is not None for attempt in attempts):
                yield Violation.WORK_AFTER_DISCONNECT, _describe(request)

    def _balances(self) -> Iterator[Finding]:
        in_flight = self.proxy.forwarder.sender.in_flight
        attempts = [attempt for some in in_flight.values() for attempt in some]
        open_attempts = Counter(attempt.endpoint for attempt in attempts)
        in_use = Counter(attempt.endpoint for attempt in attempts if attempt.holds_connection)
        quiet = not (attempts or self.proxy.forwarder.open_requests or self.proxy.writer.relaying)
        for endpoint in {*self.proxy.endpoints.by_id.values(), *open_attempts}:
            if open_attempts[endpoint] != endpoint.in_flight:
                details = f"{endpoint.id}: {open_attempts[endpoint]} known, {endpoint.in_flight} counted"
                yield Violation.ATTEMPTS, details
            idle = sum(connection.reusable for connection in endpoint.idle_connections)
            known, counted = idle + in_use[endpoint], endpoint.open_connections
            if known > counted or quiet and known != counted:
                yield Violation.CONNECTIONS, f"{endpoint.id}: {known} known, {counted} counted"

    def _configuration(self) -> Iterator[Finding]:
        stamp = self.proxy.publisher.store.stamp(RecordKind.CONFIGURATION)
        current = self.proxy.configuration.version
        if stamp is not None and stamp[0] != current:
            yield Violation.CONFIGURATION, f"{stamp[0]:08x} was heard"


def _describe(request: PendingRequest) -> str:
    return request.try_id.decode("latin-1")
