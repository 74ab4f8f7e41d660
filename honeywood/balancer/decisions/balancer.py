"""All decisions of one balancer: which server an RPC goes to, when it is retried or given up, how it votes.

An RPC passes through Admission, BuildSelection, ServerSelection and SendPolicy, in this order; its results
are passed back in the reverse order. ReleaseVerdict tests the results of the newest release and votes on it.
Times are in tenths of a millisecond.
"""

from __future__ import annotations

from random import Random

from honeywood.balancer.decisions.admission import Admission
from honeywood.balancer.decisions.arrivals import Arrivals
from honeywood.balancer.decisions.build_selection import BuildSelection
from honeywood.balancer.decisions.concurrency_limit import ConcurrencyLimit
from honeywood.balancer.decisions.limits import TIMER_PERIOD
from honeywood.balancer.decisions.list_watch import ListWatch
from honeywood.balancer.decisions.release_verdict import ReleaseVerdict
from honeywood.balancer.decisions.send_policy import SendPolicy
from honeywood.balancer.decisions.server_groups import ServerGroups
from honeywood.balancer.decisions.server_selection import ServerSelection
from honeywood.balancer.decisions.warm_up import WarmUpBudget

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.interface import Host
    from honeywood.balancer.model import (
        Attempt,
        AttemptResult,
        Duration,
        Method,
        PlatformCounts,
        ReleaseUpdate,
        Rpc,
        Server,
        ServerEntry,
        Time,
    )
    from honeywood.balancer.settings import Settings


class Balancer:
    """The decisions of one balancer (interface.Decisions), wired together."""

    def __init__(self, settings: Settings, host: Host) -> None:
        """Creates the parts and connects them; makes no decision before on_start."""
        random = Random(settings.seed)
        arrivals = Arrivals()
        self._host = host
        self.servers = ServerGroups()
        self.list_watch = ListWatch(settings, host, random)
        self.release = ReleaseVerdict(settings, host, random, self.servers, self.list_watch)
        warm_up = WarmUpBudget(settings, self.servers, random)
        policy = SendPolicy(settings, host, self.release, warm_up)
        self._selection = ServerSelection(settings, host, random, self.servers, arrivals, warm_up, policy)
        builds = BuildSelection(random, self.servers, self.release, warm_up, self._selection)
        limit = ConcurrencyLimit(settings, self.servers)
        self._admission = Admission(
            settings, host, arrivals, limit, policy, self._selection, builds, self.release
        )

    @property
    def reject_connections_until(self) -> float:
        """Time until which the host accepts no new client connections: RPCs are queued too long here."""
        return self._admission.reject_connections_until

    def on_start(self, now: Time) -> None:
        """Run the first timer; further ones follow every TIMER_PERIOD."""
        self.on_timer(now)

    def on_timer(self, now: Time) -> None:
        """Run everything that is due, and request the next timer."""
        self._host.wake_after(TIMER_PERIOD)
        self.list_watch.on_timer(now)
        self._admission.on_timer(now)
        self.release.on_timer(now)

    def on_server_list(self, now: Time, entries: Sequence[ServerEntry], complete: bool) -> None:
        """Apply changes of the server list, or the complete list."""
        self.servers.update(now, entries, complete)
        self.list_watch.on_server_list()
        self.servers.regroup(self.release)

    def on_server_list_failed(self, now: Time) -> None:
        """Schedule another request for the server list."""
        self.list_watch.on_failure(now)

    def on_release_update(self, now: Time, update: ReleaseUpdate) -> None:
        """Apply the state of the newest release."""
        self.release.on_update(now, update)

    def on_vote_answered(self, now: Time, update: ReleaseUpdate | None) -> None:
        """Apply the answer to the last vote; `update` is None if the platform did not accept the vote."""
        self.release.on_vote_answered(now, update)

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """Send an RPC to a server or give it up."""
        self._admission.on_request(now, rpc)

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """Cancel the attempts in flight for an RPC whose client has left."""
        self._admission.on_client_disconnected(now, rpc)

    def on_response_started(self, now: Time, attempt: Attempt) -> None:
        """Record when the first bytes of an answer arrived; the rest is still to come."""
        attempt.rpc.response_began_at = attempt.rpc.response_began_at or now

    def on_stream_established(self, now: Time, attempt: Attempt) -> None:
        """Close an RPC whose answer is a stream; it needs no final answer."""
        self._admission.on_stream_established(attempt.rpc)

    def on_result(
        self,
        now: Time,
        attempt: Attempt,
        result: AttemptResult,
        latency: Duration,
        load: Sequence[float],
        final: bool,
    ) -> None:
        """End an attempt, then end its RPC or retry it."""
        attempt.result, attempt.latency = result, latency
        self._admission.on_result(now, attempt, load, final)

    def on_probe_result(
        self, now: Time, server: Server, result: AttemptResult, latency: Duration, load: Sequence[float]
    ) -> None:
        """Apply a server's load report."""
        self._selection.on_load_report(now, server, load)

    def on_incorrect_answer(self, now: Time, server: Server, method: Method) -> None:
        """Count an answer that the platform reported as incorrect."""
        self.release.on_incorrect_answer(server, method)

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """Add the platform's counts to the samples of the release."""
        self.release.on_platform_counts(now, counts)
