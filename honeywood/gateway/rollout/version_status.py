"""Which versions of a service get traffic at one proxy."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from honeywood.gateway.rollout.record import RolloutStage, RolloutState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.rollout.proxy_voter import ProxyVoters
    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.routing.endpoint_table import EndpointTable


class VersionStatus(StrEnum):
    """How much traffic a version gets: ESTABLISHED without limit, ON_TRIAL within limits, CLOSED none."""

    ESTABLISHED = "established"
    ON_TRIAL = "trial"
    CLOSED = "closed"


# Python 3.11 looks up enum members slowly, and these are compared for each attempt of a request.
ESTABLISHED, ON_TRIAL, CLOSED = VersionStatus.ESTABLISHED, VersionStatus.ON_TRIAL, VersionStatus.CLOSED
_REVERTED, _DONE = RolloutState.REVERTED, RolloutState.DONE
_WIDE, _FULL = RolloutStage.WIDE, RolloutStage.FULL


class VersionStatuses:
    """The rollouts known to a proxy, and the resulting status of each version."""

    __slots__ = ("rollouts", "_endpoints", "_voters")

    def __init__(self, endpoints: EndpointTable, voters: ProxyVoters) -> None:
        """Start without a rollout; `endpoints` and `voters` are those of the proxy."""
        self.rollouts: dict[str, Rollout] = {}  # by service
        self._endpoints = endpoints
        self._voters = voters

    def status(self, service: str, version: str) -> VersionStatus:
        """Return the current status of a service's version."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            if version == self._most_common_version(service, version):
                return ESTABLISHED
            return ON_TRIAL
        if version in rollout.reverted_versions and self._has_other_versions(rollout):
            return CLOSED
        is_new = version == rollout.version
        if rollout.state is _REVERTED:
            return CLOSED if is_new else ESTABLISHED
        if rollout.state is _DONE or self._gets_all_traffic(rollout):
            return ESTABLISHED if is_new else CLOSED
        return ON_TRIAL if is_new else ESTABLISHED

    def is_wide(self, service: str) -> bool:
        """Return whether a rollout of a service is in the wide stage."""
        rollout = self.rollouts.get(service)
        return rollout is not None and rollout.active and rollout.stage is _WIDE

    def _gets_all_traffic(self, rollout: Rollout) -> bool:
        """Return whether the rollout is in the full stage and this proxy's counts don't reject the version.

        A rejection at this proxy, even unconfirmed, immediately limits the version to the traffic of the
        trial stage, without waiting for the counts of other proxies.
        """
        return rollout.stage is _FULL and not self._voters.rejects_version_of(rollout)

    def _has_other_versions(self, rollout: Rollout) -> bool:
        """Return whether the service has a version other than the new and the reverted ones."""
        versions = {endpoint.version for endpoint in self._endpoints.of(rollout.service)}
        return bool(versions - {rollout.version, *rollout.reverted_versions})

    def _most_common_version(self, service: str, default: str) -> str:
        """Return the version that most endpoints of a service have; of several, the lowest."""
        counts = Counter(endpoint.version for endpoint in self._endpoints.of(service))
        most = max(counts.values(), default=0)
        return min((version for version, count in counts.items() if count == most), default=default)
