"""Whether the proxy reports itself ready to the platform."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
    from honeywood.gateway.routing.endpoint_table import EndpointTable

ENDPOINTS_TIMEOUT_S = 2.0  # after the first configuration, to wait for an endpoint of each service


class Readiness:
    """Decides whether the proxy is ready.

    A proxy is ready from the time at which it has a confirmed configuration and endpoints for it until it
    stops. `quorum_contacted` is whether a controller in quorum, which is in contact with a majority of the
    controllers, has answered. Until then the configuration is unconfirmed: it may come from a controller that
    is partitioned from the others.
    """

    def __init__(
        self,
        configuration: ActiveConfiguration,
        endpoints: EndpointTable,
        stopping: asyncio.Event,
        contact_timeout_s: float,
        on_unconfirmed: Callable[[], None],
    ) -> None:
        """Builds the decision of one proxy.

        With an unconfirmed configuration the proxy is ready after `contact_timeout_s`. `on_unconfirmed` is
        then called at each check.
        """
        self.configuration = configuration
        self.endpoints = endpoints
        self.stopping = stopping
        self.contact_timeout_s = contact_timeout_s
        self.on_unconfirmed = on_unconfirmed
        self.quorum_contacted = False

    def is_ready(self) -> bool:
        """Returns whether the platform may send clients to this proxy."""
        table = self.configuration.table
        if self.stopping.is_set() or table is None:
            return False
        if not self.quorum_contacted:
            if self.configuration.age_s() < self.contact_timeout_s:
                return False
            self.on_unconfirmed()
        have_endpoints = table.services <= set(self.endpoints.by_service)
        return have_endpoints or self.configuration.age_s() > ENDPOINTS_TIMEOUT_S
