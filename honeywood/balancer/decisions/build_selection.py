"""Which build an RPC goes to first: that of the release on trial, or the established one."""

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

REPLACED_SHARE = 0.9  # of the servers before a release, from which on its own servers bear all


class BuildSelection:
    """Sends to a build on trial as far as its servers bear it, by chance; the cap is the send policy's."""

    def __init__(
        self,
        random: Random,
        servers: ServerGroups,
        release: ReleaseVerdict,
        warm_up: WarmUpBudget,
        selection: ServerSelection,
    ) -> None:
        """The release decides which servers are on trial."""
        self._random, self._servers, self._release = random, servers, release
        self._warm_up, self._selection = warm_up, selection

    def send(self, now: Time, rpc: Rpc) -> bool:
        """Send an attempt; whether it was sent."""
        first, second = self._groups(now)
        return self._selection.send(now, rpc, first, second)

    def on_result(self, now: Time, attempt: Attempt, load: Sequence[float]) -> None:
        """An attempt has ended."""
        self._selection.on_result(now, attempt, load)
        self._release.on_result(attempt)

    def _groups(self, now: Time) -> tuple[Sequence[Server], Sequence[Server]]:
        """The servers to try first, and those to try where none of them may be chosen."""
        servers, release = self._servers, self._release
        on_trial, established = servers.on_trial, servers.established
        if release.build in release.rejected_builds:
            return established, on_trial
        replaced = len(servers.newest_by_start) >= REPLACED_SHARE * release.servers_before
        if not on_trial and release.state == ReleaseState.RELEASED and replaced:
            return servers.newest, established  # the others drain before the list tells it
        if on_trial and established and not self._draws_trial(now):
            return established, on_trial
        return on_trial, established

    def _draws_trial(self, now: Time) -> bool:
        """Whether chance takes the servers on trial, by their part of the capacity."""
        on_trial, rest = (
            sum(self._warm_up.capacity_share(now, server) for server in group)
            for group in (self._servers.on_trial, self._servers.established)
        )
        return self._random.random() * (on_trial + rest) < on_trial
