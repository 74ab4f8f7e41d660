"""Limits the traffic to versions under rollout at one proxy, and reports the outcomes."""

from __future__ import annotations

from honeywood.gateway.rollout.allowance import ExposureAllowance
from honeywood.gateway.rollout.attempt_tally import AttemptTally
from honeywood.gateway.rollout.outcome_counters import OutcomeCounters
from honeywood.gateway.rollout.proxy_voter import ProxyVoters
from honeywood.gateway.rollout.record import RolloutStage
from honeywood.gateway.rollout.report import ProxyReport, RolloutStatus
from honeywood.gateway.rollout.trial_credit import TrialCredit
from honeywood.gateway.rollout.trial_endpoints import TrialEndpointSelector
from honeywood.gateway.rollout.version_status import CLOSED, ESTABLISHED, ON_TRIAL, VersionStatuses

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from honeywood.gateway.rollout.outcome_counters import OpenAttempt
    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.rollout.report import OutcomeCounts
    from honeywood.gateway.rollout.version_status import VersionStatus
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.endpoint_table import EndpointTable
    from honeywood.gateway.routing.outcomes import AttemptOutcome
    from honeywood.gateway.routing.pending_request import PendingRequest

# Fraction of the configured share and slack that is used: a request may end elsewhere than it began.
SAFETY_FACTOR = 0.8
# Outcomes of younger endpoints are not representative of their version, so these get no trial traffic.
MIN_ENDPOINT_AGE_S = 3.0
# Time for which a stage stays in force at a proxy that is out of contact with the controllers. Afterwards
# only the established versions get its traffic.
CONTACT_LEASE_S = 3.0


class RolloutTrafficPolicy:
    """One proxy's traffic limits, outcome counts and votes for the versions of all services."""

    def __init__(
        self, endpoints: EndpointTable, share: float, slack: float, proxy_count: Callable[[], int]
    ) -> None:
        """Create a policy without a rollout.

        A new version gets at most the fraction `share` of requests plus `slack` attempts from all proxies
        together. `proxy_count` returns the number of proxies.
        """
        self.endpoints = endpoints
        self.share = share * SAFETY_FACTOR
        self.slack = slack * SAFETY_FACTOR
        self.proxy_count = proxy_count
        self.controller_contact_at = 0.0  # when the last poll answered by a controller in a quorum was sent
        self._allowances: dict[str, ExposureAllowance] = {}  # by service
        self._credit = TrialCredit(self.share)
        self._trial_endpoints = TrialEndpointSelector(self.share)
        self.attempt_tally = AttemptTally()
        self._counters = OutcomeCounters()
        self._voters = ProxyVoters()
        self._statuses = VersionStatuses(endpoints, self._voters)

    # Known rollouts

    def update(self, now: float, rollout: Rollout) -> None:
        """Apply a rollout's record, unless its revision is already known or older."""
        current = self._statuses.rollouts.get(rollout.service)
        if current is not None and rollout.revision <= current.revision:
            return
        is_new_order = current is None or current.order_revision != rollout.order_revision
        if is_new_order:
            self._begin_trial(now, rollout.service)
        was_full = not is_new_order and current is not None and current.stage is RolloutStage.FULL
        if rollout.stage is RolloutStage.FULL and not was_full:
            self._counters.begin_full_stage(now, rollout)
        self._statuses.rollouts[rollout.service] = rollout

    def _begin_trial(self, now: float, service: str) -> None:
        """Begin the trial of a new order, without the counts and credits from before it.

        A proxy that starts later or was partitioned has no part of the slack, which the others share already.
        """
        self._counters.reset(service)
        self._credit.reset(service)
        slack = self.slack if self._in_contact(now) else 0.0
        self._allowances[service] = ExposureAllowance(self.share, slack, now)

    def _in_contact(self, now: float) -> bool:
        return now - self.controller_contact_at <= CONTACT_LEASE_S

    @property
    def has_active_rollout(self) -> bool:
        """Whether any rollout is active."""
        return any(rollout.active for rollout in self._statuses.rollouts.values())

    def version_status(self, service: str, version: str) -> VersionStatus:
        """Return the current status of a service's version."""
        return self._statuses.status(service, version)

    # Requests and attempts

    def record_request(self, request: PendingRequest) -> None:
        """Record an arriving request: it earns credit for its route, and counts for the allowance."""
        self._credit.earn(request.service, request.route.name)
        allowance = self._allowances.get(request.service)
        if allowance is not None:
            allowance.record_request(request.received_at, self.proxy_count())

    def trial_permits(self, now: float, request: PendingRequest) -> bool:
        """Return whether a request may be sent to the version on trial.

        It may within the exposure allowance of the order. Outside the wide stage it must also be idempotent
        and covered by its route's credit.
        """
        if not self._in_contact(now):
            return False
        rollout = self._statuses.rollouts.get(request.service)
        if rollout is not None and rollout.active and not self._allowances[request.service].permits_attempt:
            return False
        if self._statuses.is_wide(request.service):
            return True
        return request.route.idempotent and self._credit.covers_attempt(request.service, request.route.name)

    def allows(self, now: float, request: PendingRequest, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint."""
        status = self.version_status(request.service, endpoint.version)
        if status is ON_TRIAL:
            return self.trial_permits(now, request)
        return status is ESTABLISHED

    def preference_groups(
        self, now: float, request: PendingRequest, endpoints: Sequence[Endpoint]
    ) -> list[list[Endpoint]]:
        """Return the endpoints that a request may be sent to, in groups of which the first is preferred.

        Endpoints on trial are preferred for a first attempt while the limits permit it.
        """
        established, on_trial = self._by_status(now, request.service, endpoints)
        if not on_trial or request.attempts or not self.trial_permits(now, request):
            return [established, on_trial]
        if self._statuses.is_wide(request.service):
            return [on_trial, established]
        return [self.trial_endpoints(request.service, on_trial), established]

    def _by_status(
        self, now: float, service: str, endpoints: Sequence[Endpoint]
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the endpoints of established versions, and those on trial whose outcomes are counted."""
        versions = {endpoint.version for endpoint in endpoints}
        statuses = {version: self.version_status(service, version) for version in versions}
        established: list[Endpoint] = []
        on_trial: list[Endpoint] = []
        for endpoint in endpoints:
            status = statuses[endpoint.version]
            if status is ESTABLISHED:
                established.append(endpoint)
            elif status is ON_TRIAL and _outcomes_are_counted(now, endpoint):
                on_trial.append(endpoint)
        return established, on_trial

    def trial_endpoints(self, service: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return those of a service's endpoints on trial that get requests during the trial stage."""
        return self._trial_endpoints.select(service, endpoints)

    def record_attempt(self, request: PendingRequest, endpoint: Endpoint) -> None:
        """Record the start of an attempt of a request at an endpoint."""
        rollout = self._statuses.rollouts.get(request.service)
        if rollout is not None and rollout.active:
            self.attempt_tally.sent(rollout, endpoint)
        if rollout is not None and endpoint.version == rollout.version:
            self._allowances[request.service].record_attempt()
        if self._statuses.is_wide(request.service):
            return
        if self.version_status(request.service, endpoint.version) is ON_TRIAL:
            self._credit.spend(request.service, request.route.name)

    def record_outcome(
        self,
        now: float,
        request: PendingRequest,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
        latency_s: float,
    ) -> None:
        """Record the end of an attempt; it is counted while its service has an active rollout."""
        rollout = self._statuses.rollouts.get(request.service)
        if rollout is not None and rollout.active:
            is_compared = self._counters.record(now, rollout, request, endpoint, outcome, latency_s)
            self.attempt_tally.ended(rollout, endpoint, outcome, is_compared)

    # Reports

    def report(self, now: float, open_attempts: Iterable[OpenAttempt] = ()) -> ProxyReport:
        """Return the current report to controllers; `open_attempts` are those in flight at the proxy."""
        rollouts = self._statuses.rollouts
        outcome_counts = self._counters.snapshot(now, rollouts, open_attempts)
        return ProxyReport(
            outcome_counts,
            {service: self._status(now, rollout, outcome_counts) for service, rollout in rollouts.items()},
        )

    def _status(
        self, now: float, rollout: Rollout, outcome_counts: tuple[OutcomeCounts, ...]
    ) -> RolloutStatus:
        if not rollout.active:
            return RolloutStatus(rollout.revision, self._pending(rollout))
        voter = self._voters.voter(now, rollout, self.proxy_count())
        vote = voter.vote(now, rollout, outcome_counts)
        revision_age_s = round(now - voter.started_at, 2)
        return RolloutStatus(rollout.revision, self._pending(rollout), vote, revision_age_s)

    def _pending(self, rollout: Rollout) -> int:
        """Return the number of attempts in flight at closed versions, plus one while others are needed."""
        in_flight = sum(
            endpoint.in_flight
            for endpoint in self.endpoints.of(rollout.service)
            if self.version_status(rollout.service, endpoint.version) is CLOSED
        )
        needs_established = rollout.active and rollout.stage is not RolloutStage.FULL
        return in_flight + (needs_established or self._voters.rejects_version_of(rollout))


def _outcomes_are_counted(now: float, endpoint: Endpoint) -> bool:
    """Return whether an endpoint's outcomes are counted; other endpoints would waste the trial's traffic."""
    return now - endpoint.discovered_at >= MIN_ENDPOINT_AGE_S and now >= endpoint.warm_at
