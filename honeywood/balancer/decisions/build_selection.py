"""Selects the build that an RPC is sent to first: the one on trial or the established one."""

from __future__ import annotations

from honeywood.balancer.model import ReleaseState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from honeywood.balancer.decisions.release_verdict import ReleaseVerdict
    from honeywood.balancer.decisions.server_groups import ServerGroups
    from honeywood.balancer.decisions.server_selection import ServerSelection
    from honeywood.balancer.decisions.warm_up import WarmUpBudget
    from honeywood.balancer.model import Attempt, Rpc, Server, Time

# Share of the number of servers before a release; with at least as many servers of its own, a released build
# takes all traffic.
REPLACED_SHARE = 0.9


class BuildSelection:
    """Splits traffic at random between builds, in proportion to the capacity of their servers.

    The cap of a build on trial is enforced by the send policy.
    """

    def __init__(
        self,
        random: Random,
        servers: ServerGroups,
        release: ReleaseVerdict,
        warm_up: WarmUpBudget,
        selection: ServerSelection,
    ) -> None:
        """`release` determines which servers are on trial."""
        self._random, self._servers, self._release = random, servers, release
        self._warm_up, self._selection = warm_up, selection

    def send(self, now: Time, rpc: Rpc) -> bool:
        """Send an attempt and return whether it was sent."""
        first, second = self._groups(now)
        return self._selection.send(now, rpc, first, second)

    def on_result(self, now: Time, attempt: Attempt, load: Sequence[float]) -> None:
        """Pass on the result of an attempt that has ended."""
        self._selection.on_result(now, attempt, load)
        self._release.on_result(attempt)

    def _groups(self, now: Time) -> tuple[Sequence[Server], Sequence[Server]]:
        """The servers to try first, and the servers to try if none of those may be chosen."""
        servers, release = self._servers, self._release
        on_trial, established = servers.on_trial, servers.established
        if release.build in release.rejected_builds:
            return established, on_trial
        replaced = len(servers.newest_by_start) >= REPLACED_SHARE * release.servers_before
        if not on_trial and release.state == ReleaseState.RELEASED and replaced:
            # Servers of earlier builds start to drain before the server list says so.
            return servers.newest, established
        if on_trial and established and not self._selects_trial(now):
            return established, on_trial
        return on_trial, established

    def _selects_trial(self, now: Time) -> bool:
        """Whether a random choice, weighted by capacity, selects the servers on trial."""
        on_trial, established = (
            sum(self._warm_up.capacity_share(now, server) for server in group)
            for group in (self._servers.on_trial, self._servers.established)
        )
        return self._random.random() * (on_trial + established) < on_trial
