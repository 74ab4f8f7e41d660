"""The rules of a day, and their violations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """What must hold on every day.

    A proxy is "in contact" if neither it nor the core was disturbed in the last contact_s seconds.
    """

    AT_MOST_ONCE = "at most once"
    """A request that is not idempotent is executed at most once."""
    NOT_EXECUTED = "not executed"
    """A request that was answered 408, 421, 429 or 503 has not been executed and never will be."""
    OWN_RESPONSE = "own response"
    """A successful response belongs to the request that it answers."""
    DRAIN = "drain"
    """No request is sent to a machine later than drain_s after its draining was acknowledged."""
    RETIREMENT = "retirement"
    """apply_s after a machine's end was acknowledged, no proxy in contact treats it as ready."""
    ACTIVATION = "activation"
    """apply_s after a version was acknowledged, no proxy in contact uses an older one."""
    ROUTES = "routes"
    """apply_s after a version was acknowledged, every proxy in contact knows the routes of that version."""
    MONOTONIC_VERSION = "monotonic version"
    """Within one incarnation, no proxy goes back to an older version."""
    READINESS = "readiness"
    """A proxy is ready for at least seven eighths of the time in which it is in contact."""
    RETRY_BUDGET = "retry budget"
    """The retries that reach a service stay within retry_ratio and retry_slack."""
    CANCELLATION = "cancellation"
    """Half a second after its client disconnected, no machine works on an idempotent request, provided that
    the proxy was in contact."""
    EXPOSURE = "exposure"
    """A bad version gets at most its share of requests, and none rollback_s after its 50th bad response."""
    SINGLE_OUTCOME = "single outcome"
    """A rollout is always reported with the same outcome."""
    DURABILITY = "durability"
    """A configuration that was acknowledged is stored at the end of the day."""
    AVAILABILITY = "availability"
    """At least half of the possible worth is reached, whatever fails."""
    UNIQUE_VERSION = "unique version"
    """Only one content is acknowledged for a version number, as long as no higher number has been sent."""
    ACCEPTANCE = "acceptance"
    """A valid order is never answered with a 4xx status, neither at first nor when it is repeated, by any
    controller. Exception: of two contents with one number, the one that is not active may be answered 412."""
    ACKNOWLEDGEMENT = "acknowledgement"
    """An order is acknowledged within ack_s after it was sent, or after the last disturbance of the core
    (plus contact_s) or of a link."""
    MONOTONIC_READS = "monotonic reads"
    """A read that begins after an acknowledgement, or after the end of another read, returns nothing older
    than these, at any controller. For configurations the version number is compared, for rollouts the order
    and its outcome."""
    INVARIANT = "invariant"
    """No proxy detects a violation of its internal invariants."""
    NO_UNEXPECTED_ERROR = "no unexpected error"
    """No handler or periodic task raises an unexpected error."""
    EMULATOR = "emulator"
    """The emulator itself raises no exception."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with the time in seconds and a description."""

    rule: Rule
    at_s: float
    details: str

    def __str__(self) -> str:
        """Return the violation as a line of a report."""
        return f"{self.rule} at {self.at_s} s: {self.details}"
