"""Invariants of a proxy that are checked while it runs. Violations are only counted and reported.

- ABANDONED_WITHIN_S after a client's disconnect was noticed, no attempt of its idempotent requests is in
  flight at an endpoint.
- No attempt starts for a client that has disconnected. No attempt of a non-idempotent request starts while an
  earlier attempt may have run.
- Each endpoint counts as many attempts in flight as the sender has in flight there.
- Each endpoint counts at least as many open connections as are idle, in use or held by a long response that
  has not been relayed completely. While no request is open, the two numbers are equal.
- Each open connection is idle, in use or held by such a response, also while requests are open.
- No idle connection that may not be used again is kept for longer than until the next maintenance.
- The configuration in effect is the newest one that has been received, unless its activation is scheduled.

Counts that are kept in several objects don't change in one step, and the pool closes unusable connections
right after a check. A violation that the periodic check finds is therefore reported only if two checks in a
row find it: that of a single connection if both find it at this connection.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from honeywood.gateway.dissemination.keys import RecordKind

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from honeywood.gateway.proxy.attempt_in_flight import AttemptInFlight
    from honeywood.gateway.proxy.program import Proxy
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.pending_request import PendingRequest
    from honeywood.gateway.rpc.connection import Connection

ABANDONED_WITHIN_S = 0.25


class Violation(StrEnum):
    """An invariant that does not hold. The values appear in logs and in counters."""

    WORK_AFTER_DISCONNECT = "work for a client that left"
    ATTEMPT_AFTER_DISCONNECT = "attempt begun for a client that left"
    UNSAFE_RETRY = "unsafe attempt repeated"
    ATTEMPT_COUNT = "attempts out of balance"
    CONNECTION_COUNT = "connections out of balance"
    LEAKED_CONNECTION = "connection leaked"
    UNUSABLE_CONNECTION = "unusable connection kept"
    CONFIGURATION = "configuration not in force"


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation that one check has found, and its connection if it is one of a single connection."""

    violation: Violation
    details: str
    connection: Connection | None = None


class InvariantChecks:
    """The checks of one proxy; `violations` counts the violations that were reported."""

    def __init__(self, proxy: Proxy, on_violation: Callable[[Violation, str], None]) -> None:
        """Starts without violations; `on_violation` is called with each violation and its details."""
        self.proxy = proxy
        self.on_violation = on_violation
        self.violations: Counter[Violation] = Counter()
        self._suspected: set[Finding] = set()

    def check_attempt(self, request: PendingRequest) -> None:
        """Checks that the next attempt of a request may start; called right before each attempt."""
        if request.disconnect.happened:
            self._report(Violation.ATTEMPT_AFTER_DISCONNECT, _describe(request))
        if not request.route.idempotent and request.may_have_run:
            self._report(Violation.UNSAFE_RETRY, _describe(request))

    def check(self, now: float) -> None:
        """Checks the proxy's state; called periodically."""
        found = {
            *self._work_after_disconnect(now),
            *self._attempt_mismatches(),
            *self._connection_mismatches(),
            *self._leaked_connections(),
            *self._unusable_connections(),
            *self._stale_configuration(),
        }
        for finding in found & self._suspected:
            self._report(finding.violation, finding.details)
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
                yield Finding(Violation.WORK_AFTER_DISCONNECT, _describe(request))

    def _attempt_mismatches(self) -> Iterator[Finding]:
        open_attempts = Counter(attempt.endpoint for attempt in self._attempts_in_flight())
        for endpoint in {*self.proxy.endpoints.by_id.values(), *open_attempts}:
            known, counted = open_attempts[endpoint], endpoint.in_flight
            if known != counted:
                yield _mismatch(Violation.ATTEMPT_COUNT, endpoint, known, counted)

    def _connection_mismatches(self) -> Iterator[Finding]:
        forwarder = self.proxy.forwarder
        attempts = [*self._attempts_in_flight()]
        remainders = forwarder.sender.remainders.items()
        held = Counter({attempt.endpoint: 0 for attempt in attempts})  # also those without a connection
        held.update(attempt.endpoint for attempt in attempts if attempt.holds_connection)
        held.update(endpoint for remainder, endpoint in remainders if remainder.holds_connection)
        is_quiescent = not (attempts or forwarder.open_requests)
        for endpoint in {*self.proxy.endpoints.by_id.values(), *held}:
            idle = sum(not connection.ended for connection in endpoint.idle_connections)
            known, counted = idle + held[endpoint], endpoint.open_connections
            if known > counted or is_quiescent and known != counted:
                yield _mismatch(Violation.CONNECTION_COUNT, endpoint, known, counted)

    def _leaked_connections(self) -> Iterator[Finding]:
        remainders = self.proxy.forwarder.sender.remainders
        owned = {attempt.connection for attempt in self._attempts_in_flight()}
        owned.update(remainder.connection for remainder in remainders if remainder.holds_connection)
        for connection, endpoint in self.proxy.pool.connections.items():
            if not (connection.ended or connection in owned or connection in endpoint.idle_connections):
                yield Finding(Violation.LEAKED_CONNECTION, endpoint.id, connection)

    def _attempts_in_flight(self) -> Iterator[AttemptInFlight]:
        for attempts in self.proxy.forwarder.sender.in_flight.values():
            yield from attempts

    def _unusable_connections(self) -> Iterator[Finding]:
        for endpoint in self.proxy.endpoints.by_id.values():
            for connection in endpoint.idle_connections:
                if not connection.reusable:
                    yield Finding(Violation.UNUSABLE_CONNECTION, endpoint.id, connection)

    def _stale_configuration(self) -> Iterator[Finding]:
        stamp = self.proxy.publisher.store.stamp(RecordKind.CONFIGURATION)
        current = self.proxy.configuration.version
        is_pending = self.proxy.records.activations.is_pending
        if stamp is not None and stamp[0] != current and not is_pending:
            yield Finding(Violation.CONFIGURATION, f"{stamp[0]:08x} was received")


def _mismatch(violation: Violation, endpoint: Endpoint, known: int, counted: int) -> Finding:
    return Finding(violation, f"{endpoint.id}: {known} known, {counted} counted")


def _describe(request: PendingRequest) -> str:
    return request.try_id.decode("latin-1")
