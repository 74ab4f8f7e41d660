"""The listed servers, in the groups from which decisions select."""

from __future__ import annotations

from collections import deque
from math import inf

from honeywood.balancer.model import ServerStatus

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Protocol

    from honeywood.balancer.model import Server, ServerEntry, Time

    class Release(Protocol):
        """The part of the newest release's state that determines the groups."""

        build: int | None
        rejected_builds: list[int]

        def trial_of(self, build: int) -> object | None:
            """The limits of a build on trial, None for any other build."""


class ServerGroups:
    """Groups of servers; rebuilt if the list or the release changes, not for each RPC: fleets are large."""

    def __init__(self) -> None:
        """Starts without servers."""
        self.listed: list[Server] = []
        self.ready: list[Server] = []  # sorted by digest, the same order in all balancers
        self.on_trial: list[Server] = []  # ready servers whose build is on trial or rejected
        self.established: list[Server] = []  # all other ready servers
        self.newest: list[Server] = []  # ready servers of the newest release
        self.newest_by_start: list[Server] = []

    def update(self, now: Time, entries: Sequence[ServerEntry], complete: bool) -> None:
        """Apply changes of the list. Servers that a complete list does not contain are removed."""
        for entry in entries:
            self._update_server(now, entry)
        if complete:
            named = {entry[0] for entry in entries}
            for server in self.listed:
                server.status = server.status if server in named else ServerStatus.REMOVED
        self.listed = [server for server in self.listed if server.status != ServerStatus.REMOVED]

    def _update_server(self, now: Time, entry: ServerEntry) -> None:
        server, build, zone, cell, scale, status, started_at = entry
        was_removed = server.status == ServerStatus.REMOVED
        if was_removed:
            self.listed.append(server)
        if was_removed or started_at != server.started_at or build != server.build:
            reset_process_state(server, now)
        server.build, server.zone, server.cell, server.scale = build, zone, cell, scale
        server.status, server.started_at = status, started_at

    def regroup(self, release: Release) -> None:
        """Rebuild the groups."""
        ready = (server for server in self.listed if server.status == ServerStatus.READY)
        self.ready = sorted(ready, key=lambda server: server.digest)
        builds = dict.fromkeys(server.build for server in self.ready)
        on_trial = {
            build: build in release.rejected_builds or release.trial_of(build) is not None for build in builds
        }
        for server in self.ready:
            server.on_trial = on_trial[server.build]
        self.on_trial = [server for server in self.ready if server.on_trial]
        self.established = [server for server in self.ready if not server.on_trial]
        self.newest = [server for server in self.ready if server.build == release.build]
        self.newest_by_start = sorted(self.newest, key=lambda server: server.started_at)


def reset_process_state(server: Server, now: Time) -> None:
    """Reset what was observed of an earlier process under the same identifier: it does not apply to this one.

    Attempts that are still in flight stay counted.
    """
    server.latency_factor, server.recent_failures, server.decayed_at = 1.0, 0.0, now
    server.reported_load, server.reported_at = 0.0, -inf
    server.warm_up_sends, server.answered_at = deque(), now
    server.ejected_until, server.suspect = now, False
