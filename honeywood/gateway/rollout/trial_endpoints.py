"""Selects the endpoints that get requests while their version is on trial."""

from __future__ import annotations

from math import ceil

from honeywood.gateway.dissemination.rendezvous import rank

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.gateway.routing.endpoint import Endpoint


class TrialEndpointSelector:
    """Selects a share of the endpoints on trial, the same endpoints at each proxy.

    Each selected endpoint gets as many requests as if all endpoints of the version got all traffic. If the
    trial's requests were spread over all endpoints, a version that fails only under load would not fail. The
    selection is cached until the endpoints change.
    """

    __slots__ = ("share", "_selections")

    def __init__(self, share: float) -> None:
        """Create a selector of the fraction `share` of a version's endpoints, but at least one."""
        self.share = share
        self._selections: dict[str, tuple[list[str], list[Endpoint]]] = {}

    def select(self, service: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the selected endpoints among a service's `endpoints` on trial."""
        ids = [endpoint.id for endpoint in endpoints]
        cached = self._selections.get(service)
        if cached is not None and cached[0] == ids:
            return cached[1]
        selected_ids = rank(ids, service)[: max(1, ceil(self.share * len(ids)))]
        selected = [endpoint for endpoint in endpoints if endpoint.id in selected_ids]
        self._selections[service] = ids, selected
        return selected
