"""What must hold in a running proxy at all times, checked while it runs. It only counts and tells.

- No repeatable request is at an endpoint ABANDONED_WITHIN_S after its client was heard to leave.
- No attempt begins for a client that has left, and none of a request that may not be repeated while an
  earlier attempt may have run.
- Attempts under way are those that endpoints count as in flight.
- An endpoint's connections are at least those that are kept for it or in use, and once nothing at all is
  open, no others.
- The configuration in force is the newest that has been heard.

Sums of several parts don't change in one step, so what is looked at now and then counts once it has stood at
two looks in a row.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from honeywood.gateway.dissemination.keys import RecordKind

ABANDONED_WITHIN_S = 0.25


class Violation(StrEnum):
    """A way in which the state of a proxy is wrong."""

    WORK_FOR_NOBODY = "work for a client that left"
    BEGUN_FOR_NOBODY = "attempt begun for a client that left"
    REPEATED = "unsafe attempt repeated"
    ATTEMPTS = "attempts out of balance"
    CONNECTIONS = "connections out of balance"
    CONFIGURATION = "configuration not in force"


class InvariantChecks:
    """The checks of one proxy; `violations` counts what did not hold."""

    def __init__(self, proxy, tell: Callable[[Violation, str], None]):
        """`tell` hears of each violation with its details."""
        self.proxy, self.tell = proxy, tell
        self.violations: Counter[Violation] = Counter()
        self._suspected: set[tuple[Violation, str]] = set()

    def attempt_begins(self, request) -> None:
        """An attempt of `request` is about to be noted."""
        if request.disconnect.happened:
            self._violated(Violation.BEGUN_FOR_NOBODY, request.try_id.decode("latin-1"))
        if not request.route.idempotent and request.may_have_run:
            self._violated(Violation.REPEATED, request.try_id.decode("latin-1"))

    def look(self, now: float) -> None:
        """Checks what stands now; called now and then."""
        found = {*self._abandoned_work(now), *self._unbalanced(), *self._configuration()}
        for violation, details in found & self._suspected:
            self._violated(violation, details)
        self._suspected = found - self._suspected

    def _violated(self, violation, details):
        self.violations[violation] += 1
        self.tell(violation, details)

    def _abandoned_work(self, now):
        for request, flights in self.proxy.forwarder.sender.flights.items():
            left_at = request.disconnect.disconnected_at
            if not request.route.idempotent or left_at is None or now - left_at <= ABANDONED_WITHIN_S:
                continue
            if any(flight.attempt is not None for flight in flights):
                yield Violation.WORK_FOR_NOBODY, request.try_id.decode("latin-1")

    def _unbalanced(self):
        flights = [flight for some in self.proxy.forwarder.sender.flights.values() for flight in some]
        open_attempts = Counter(flight.endpoint for flight in flights)
        in_use = Counter(flight.endpoint for flight in flights if _holds_connection(flight))
        quiet = not (flights or self.proxy.forwarder.open_requests or self.proxy.app.relaying)
        for endpoint in {*self.proxy.endpoints.by_id.values(), *open_attempts}:
            if open_attempts[endpoint] != endpoint.in_flight:
                details = f"{endpoint.id}: {open_attempts[endpoint]} known, {endpoint.in_flight} counted"
                yield Violation.ATTEMPTS, details
            kept = sum(connection.reusable for connection in endpoint.idle_connections)
            known = kept + in_use[endpoint]
            if known > endpoint.connected or quiet and known != endpoint.connected:
                yield Violation.CONNECTIONS, f"{endpoint.id}: {known} known, {endpoint.connected} counted"

    def _configuration(self):
        stamp = self.proxy.publisher.store.stamp(RecordKind.CONFIGURATION)
        held = self.proxy.table.version if self.proxy.table else None
        if stamp is not None and stamp[0] != held:
            yield Violation.CONFIGURATION, f"{stamp[0]:08x} was heard"


def _holds_connection(flight):
    return flight.connection is not None and not flight.connection.ended
