"""Admits RPCs, retries and hedges them, and gives each RPC exactly one final answer."""

from __future__ import annotations

from math import inf

from honeywood.balancer.decisions.limits import OVERDUE_SHARE, TIMER_PERIOD, UNRESPONSIVE_AFTER
from honeywood.balancer.decisions.retry_budget import RetryBudget
from honeywood.balancer.model import AttemptResult, GiveUpReason

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.decisions.arrivals import Arrivals
    from honeywood.balancer.decisions.build_selection import BuildSelection
    from honeywood.balancer.decisions.concurrency_limit import ConcurrencyLimit
    from honeywood.balancer.decisions.release_verdict import ReleaseVerdict
    from honeywood.balancer.decisions.send_policy import SendPolicy
    from honeywood.balancer.decisions.server_selection import ServerSelection
    from honeywood.balancer.interface import Host
    from honeywood.balancer.model import Attempt, Duration, Rpc, Time
    from honeywood.balancer.settings import Settings

# Share of its latency target that an RPC may have been queued in this balancer before on_request.
MAX_WAIT_SHARE = 0.25
# Multiple of the method's mean latency that an attempt must exceed before it is hedged. About 1 in 20
# attempts exceeds it by chance.
TAIL_FACTOR = 3
RETRY_AFTER_SHARE = 0.25  # share of the latency target after which a rejected client may retry
DEGRADED_SHARE = 0.5  # share of the latency target after which an answer counts as degraded


class Admission:
    """Keeps track of open RPCs: an RPC is open from on_request until its final answer."""

    def __init__(
        self,
        settings: Settings,
        host: Host,
        arrivals: Arrivals,
        limit: ConcurrencyLimit,
        policy: SendPolicy,
        selection: ServerSelection,
        builds: BuildSelection,
        release: ReleaseVerdict,
    ) -> None:
        """Starts without open RPCs."""
        self._host, self._arrivals, self._limit, self._policy = host, arrivals, limit, policy
        self._selection, self._builds, self._release = selection, builds, release
        self._max_retry_after, self._may_cancel = settings.max_retry_after, settings.may_cancel
        self._budget = RetryBudget()
        self._open: list[Rpc] = []
        self._responding = 0  # open RPCs whose answers have started
        self.reject_connections_until = -inf

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """Send an RPC, or give it up: queued too long, too many open RPCs, or no server may be used."""
        method = rpc.method
        self._arrivals.on_request(now)
        target_at = rpc.arrived_at + method.latency_target + int(method.target_per_work * rpc.expected_work)
        rpc.target_at = min(rpc.deadline, target_at)
        self._policy.on_request(now, rpc)
        self._budget.on_request()
        self._open.append(rpc)
        if now - rpc.arrived_at > MAX_WAIT_SHARE * method.latency_target:
            # RPCs that are queued behind this one will be late as well.
            self.reject_connections_until = now + TIMER_PERIOD
            self._give_up(now, rpc, GiveUpReason.QUEUED_TOO_LONG)
        elif self._limit.exceeded(now, rpc, len(self._open), self._responding):
            self._give_up(now, rpc, GiveUpReason.OVERLOADED)
        elif not self._builds.send(now, rpc):
            self._give_up(now, rpc, GiveUpReason.NO_SERVER)

    def on_result(self, now: Time, attempt: Attempt, load: Sequence[float], final: bool) -> None:
        """Close the RPC if its client has the answer; else, if no attempt is in flight, retry or give up."""
        rpc = attempt.rpc
        self._builds.on_result(now, attempt, load)
        self._limit.on_result(now, attempt)
        if rpc.done:
            return
        if final or attempt.result == AttemptResult.OK:
            self._close(now, rpc, attempt.result != AttemptResult.OK)
        elif not any(other.result is None for other in rpc.attempts):
            self._retry(now, rpc, attempt)

    def on_stream_established(self, rpc: Rpc) -> None:
        """Close an RPC that became a stream: the balancer owes its client no final answer any more."""
        rpc.done = True
        self._open = [other for other in self._open if other is not rpc]

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """Close an RPC whose client left before its answer, and count its outcome as degraded."""
        if not rpc.done:
            self._close(now, rpc, True)

    def on_timer(self, now: Time) -> None:
        """Find overdue attempts, count them as slow and hedge them."""
        # Answers that started less than a timer period ago are left out: the server may still be computing.
        self._responding = sum(
            rpc.response_began_at is not None and now - rpc.response_began_at >= TIMER_PERIOD
            for rpc in self._open
        )
        for rpc in list(self._open):
            in_flight = [attempt for attempt in rpc.attempts if attempt.result is None]
            overdue_after = OVERDUE_SHARE * rpc.method.latency_target
            overdue = [attempt for attempt in in_flight if now - attempt.sent_at >= overdue_after]
            if not rpc.is_overdue:
                self._count_overdue(now, rpc, overdue)
            is_only_attempt = len(overdue) == len(in_flight) == 1
            if is_only_attempt and self._may_hedge(now, overdue[0]) and self._builds.send(now, rpc):
                self._budget.spend()

    def _count_overdue(self, now: Time, rpc: Rpc, overdue: Sequence[Attempt]) -> None:
        for attempt in overdue:
            attempt.latency, rpc.is_overdue = now - attempt.sent_at, True
            self._release.on_rpc_outcome(now, degraded=True)
            self._release.on_result(attempt)

    def _may_hedge(self, now: Time, attempt: Attempt) -> bool:
        """Whether a hedged request beside an overdue attempt fits the retry budget and can still be in time.

        Hedging is meant for unresponsive servers. A balancer with little traffic has only one attempt at a
        server at a time, so a missing answer more likely means that the work takes long. The attempt must
        therefore also exceed TAIL_FACTOR times the mean latency of its method.
        """
        rpc = attempt.rpc
        tail_latency = TAIL_FACTOR * (self._selection.mean_latencies[rpc.method.index] or 0)
        return (
            self._budget.available
            and now < rpc.target_at
            and now - attempt.sent_at > tail_latency
            and now - attempt.server.answered_at > UNRESPONSIVE_AFTER // 2
        )

    def _retry(self, now: Time, rpc: Rpc, attempt: Attempt) -> None:
        """Retry after a failed attempt, or give up.

        Retries of attempts that reached no server, or that expired before a server processed them, need no
        retry budget. Retries of attempts at a full server do: they would otherwise amplify the overload.
        """
        free = attempt.result in (AttemptResult.CONNECT_FAILED, AttemptResult.EXPIRED)
        if now >= rpc.target_at:
            self._give_up(now, rpc, GiveUpReason.TARGET_MISSED)
        elif not free and not self._budget.available:
            self._give_up(now, rpc, GiveUpReason.RETRY_BUDGET_EXHAUSTED)
        elif not self._builds.send(now, rpc):
            self._give_up(now, rpc, GiveUpReason.NO_SERVER)
        elif not free:
            self._budget.spend()

    def _give_up(self, now: Time, rpc: Rpc, reason: GiveUpReason) -> None:
        """Reject the RPC if it may be retried and a retry can still be in time, else abort it."""
        rpc.give_up_reason = reason
        self._close(now, rpc, True)
        if self._policy.may_reject(rpc) and now < rpc.target_at:
            self._host.reject(rpc, self._retry_after(now, rpc))
        else:
            self._host.abort(rpc)

    def _retry_after(self, now: Time, rpc: Rpc) -> Duration:
        if now < self.reject_connections_until:
            return self._max_retry_after
        return min(self._max_retry_after, int(rpc.method.latency_target * RETRY_AFTER_SHARE))

    def _close(self, now: Time, rpc: Rpc, failed: bool) -> None:
        """Close the RPC, record its outcome and cancel its attempts in flight."""
        if not rpc.is_overdue:
            degraded_from = rpc.arrived_at + int(rpc.method.latency_target * DEGRADED_SHARE)
            self._release.on_rpc_outcome(now, degraded=failed or now > degraded_from)
        rpc.done = True
        self._open = [other for other in self._open if other is not rpc]
        if self._may_cancel:
            for attempt in rpc.attempts:
                if attempt.result is None:
                    self._host.cancel(attempt)
