"""The rules of a day, and their violations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """What must hold; "in contact" is a proxy that was undisturbed, with the core, for contact_s."""

    AT_MOST_ONCE = "at most once"
    """A request that is not idempotent is executed once at the most."""
    NOT_EXECUTED = "not executed"
    """What was answered 429, 503, 408 or 421 has not been executed and never is."""
    OWN_RESPONSE = "own response"
    """A success carries the response to the request that it answers."""
    DRAIN = "drain"
    """Nothing is sent to a machine drain_s after its draining was acknowledged."""
    RETIREMENT = "retirement"
    """apply_s after a machine's end was acknowledged no proxy in contact takes it for ready."""
    ACTIVATION = "activation"
    """apply_s after a version was acknowledged no proxy in contact uses an older one."""
    ROUTES = "routes"
    """Nor has it no route for a request on a route of that version."""
    MONOTONIC_VERSION = "monotonic version"
    """Within one incarnation no proxy goes back to an older version."""
    READINESS = "readiness"
    """A proxy in contact is ready for seven eighths of that time."""
    RETRY_BUDGET = "retry budget"
    """Retries that reach a service stay within the ratio and the slack."""
    CANCELLATION = "cancellation"
    """Half a second after its client disconnected no machine works on an idempotent request, where the proxy
    was in contact."""
    EXPOSURE = "exposure"
    """A bad version gets its share and no more, and nothing rollback_s after its 50th bad response."""
    SINGLE_OUTCOME = "single outcome"
    """A rollout is reported with one outcome."""
    DURABILITY = "durability"
    """What was acknowledged is stored at the end."""
    AVAILABILITY = "availability"
    """At least half of the possible worth is earned, whatever fails."""
    UNIQUE_VERSION = "unique version"
    """Under one version number one content is acknowledged, as long as no higher number has been sent."""
    ACCEPTANCE = "acceptance"
    """A proper order is never answered with a 4xx, first sent or again, whoever answers; of two contents
    under one number the one that is not active may be answered 412."""
    ACKNOWLEDGEMENT = "acknowledgement"
    """An order is acknowledged ack_s after it was sent, or after core and links were undisturbed again."""
    MONOTONIC_READS = "monotonic reads"
    """A read that begins after an acknowledgement, or after another read ended, returns nothing older, at any
    controller: of configurations the number, of rollouts the order and its outcome."""
    INVARIANT = "invariant"
    """No proxy counts a violation of its own invariants."""
    NO_UNEXPECTED_ERROR = "no unexpected error"
    """No handler raises what it should not."""
    EMULATOR = "emulator"
    """The emulator itself raises nothing."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was violated, when, and how."""

    rule: Rule
    at_s: float
    details: str

    def __str__(self) -> str:
        """Return the line of a report."""
        return f"{self.rule} at {self.at_s} s: {self.details}"
