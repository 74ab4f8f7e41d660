"""The traffic that versions under rollout get at one proxy, and what the proxy reports of them."""

from __future__ import annotations

from honeywood.gateway.rollout.allowance import ExposureAllowance
from honeywood.gateway.rollout.outcome_counters import OutcomeCounters
from honeywood.gateway.rollout.proxy_voter import ProxyVoters
from honeywood.gateway.rollout.record import RolloutStage
from honeywood.gateway.rollout.report import ProxyReport, RolloutStatus
from honeywood.gateway.rollout.trial_credit import TrialCredit
from honeywood.gateway.rollout.trial_endpoints import TrialEndpointSelector
from honeywood.gateway.rollout.version_status import CLOSED, ESTABLISHED, ON_TRIAL, VersionStatuses

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.rollout.report import OutcomeCounts
    from honeywood.gateway.rollout.version_status import VersionStatus
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.endpoint_table import EndpointTable
    from honeywood.gateway.routing.outcomes import AttemptOutcome
    from honeywood.gateway.routing.pending_request import PendingRequest

SAFETY_FACTOR = 0.8  # of the share and slack in the settings: requests end up elsewhere than they began
MIN_ENDPOINT_AGE_S = 3.0  # seconds: younger endpoints say nothing of their version, and get no trial traffic
# Seconds for which a stage holds at a proxy that is out of contact; then the established versions alone.
CONTACT_LEASE_S = 3.0


class RolloutTrafficPolicy:
    """One proxy's view of all services' versions."""

    def __init__(
        self, endpoints: EndpointTable, share: float, slack: float, proxy_count: Callable[[], int]
    ) -> None:
        """No rollout is known.

        `share` (of requests) and `slack` (attempts) bound what a new version gets from all proxies together,
        of which `proxy_count` gives the number.
        """
        self.endpoints = endpoints
        self.share = share * SAFETY_FACTOR
        self.slack = slack * SAFETY_FACTOR
        self.proxy_count = proxy_count
        self.controller_contact_at = 0.0  # when a controller in a quorum was polled that has answered
        self._allowances: dict[str, ExposureAllowance] = {}  # by service
        self._credit = TrialCredit(self.share)
        self._trial_endpoints = TrialEndpointSelector(self.share)
        self._counters = OutcomeCounters()
        self._voters = ProxyVoters()
        self._statuses = VersionStatuses(endpoints, self._voters)

    # what is known

    def update(self, now: float, rollout: Rollout) -> None:
        """Take a rollout's record; an older revision than the known one changes nothing."""
        current = self._statuses.rollouts.get(rollout.service)
        if current is not None and rollout.revision <= current.revision:
            return
        if current is None or current.order_revision != rollout.order_revision:
            self._begin(now, rollout.service)
        self._statuses.rollouts[rollout.service] = rollout

    def _begin(self, now: float, service: str) -> None:
        """Begin the trial of a new order: nothing from before it is counted, nor was earned for it.

        A proxy that comes later, or back from a partition, has no part in the slack, which the others share.
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
        """Return what a version of a service gets just now."""
        return self._statuses.status(service, version)

    # requests and attempts

    def record_request(self, request: PendingRequest) -> None:
        """Return a request has come: it earns its route's credit, and counts for the allowance."""
        self._credit.earn(request.service, request.route.name)
        allowance = self._allowances.get(request.service)
        if allowance is not None:
            allowance.record_request(request.received_at, self.proxy_count())

    def trial_permits(self, now: float, request: PendingRequest) -> bool:
        """Return whether a request may be sent to the version on trial.

        It may within the allowance of the order, and outside the wide stage within its route's credit, where
        only idempotent requests are tried.
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

        Endpoints on trial come first while there is room for them.
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
        """Return the endpoints of established versions, and those on trial that are counted."""
        versions = {endpoint.version for endpoint in endpoints}
        statuses = {version: self.version_status(service, version) for version in versions}
        established: list[Endpoint] = []
        on_trial: list[Endpoint] = []
        for endpoint in endpoints:
            status = statuses[endpoint.version]
            if status is ESTABLISHED:
                established.append(endpoint)
            elif status is ON_TRIAL and _is_evidence(now, endpoint):
                on_trial.append(endpoint)
        return established, on_trial

    def trial_endpoints(self, service: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return those of a service's endpoints on trial that get requests in the trial stage."""
        return self._trial_endpoints.select(service, endpoints)

    def record_attempt(self, request: PendingRequest, endpoint: Endpoint) -> None:
        """Return an attempt of a request at an endpoint begins."""
        rollout = self._statuses.rollouts.get(request.service)
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
        """Return an attempt has ended; it is counted while its service has an active rollout."""
        rollout = self._statuses.rollouts.get(request.service)
        if rollout is not None and rollout.active:
            self._counters.record(now, rollout, request, endpoint, outcome, latency_s)

    # reports

    def report(self, now: float) -> ProxyReport:
        """Return the report to controllers."""
        outcome_counts = self._counters.snapshot()
        rollouts = self._statuses.rollouts.values()
        return ProxyReport(
            outcome_counts,
            {rollout.service: self._status(now, rollout, outcome_counts) for rollout in rollouts},
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
        """Return the attempts in flight at closed versions, and one more while others are needed."""
        in_flight = sum(
            endpoint.in_flight
            for endpoint in self.endpoints.of(rollout.service)
            if self.version_status(rollout.service, endpoint.version) is CLOSED
        )
        needs_established = rollout.active and rollout.stage is not RolloutStage.FULL
        return in_flight + (needs_established or self._voters.suspect(rollout))


def _is_evidence(now: float, endpoint: Endpoint) -> bool:
    """Return whether an endpoint's outcomes are counted; others would only use up the trial's traffic."""
    return now - endpoint.discovered_at >= MIN_ENDPOINT_AGE_S and now >= endpoint.warm_at
