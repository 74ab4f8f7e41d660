"""The rules for every attempt, and the only place from which attempts are sent."""

from __future__ import annotations

from collections import deque

from honeywood.balancer.decisions.limits import MIN_SERVER_AGE
from honeywood.balancer.decisions.time_window import trimmed
from honeywood.balancer.model import (
    NEVER_RAN,
    Attempt,
    AttemptResult,
    Exclusion,
    Idempotency,
    ReleaseState,
    ServerStatus,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.decisions.release_verdict import ReleaseVerdict
    from honeywood.balancer.decisions.warm_up import WarmUpBudget
    from honeywood.balancer.interface import Host
    from honeywood.balancer.model import Method, Rpc, Server, Time
    from honeywood.balancer.settings import Settings


class SendPolicy:
    """Checks whether an RPC may be sent to a server, and sends it if no rule forbids that."""

    def __init__(
        self, settings: Settings, host: Host, release: ReleaseVerdict, warm_up: WarmUpBudget
    ) -> None:
        """Starts without attempts."""
        self._host, self._release, self._warm_up = host, release, warm_up
        self._resolution, self._window = settings.clock_resolution, settings.exposure_window
        self._allowance, self._per_method = settings.exposure_allowance, settings.exposure_per_method
        self._max_attempts, self._may_duplicate = settings.max_attempts, settings.may_duplicate
        self._idempotent_only_steps, self._no_downgrade = (
            settings.idempotent_only_steps,
            settings.no_downgrade,
        )
        self._arrivals: list[deque[Time]] = [deque() for _ in settings.methods]  # by exposure class
        self._sends: dict[tuple[int, int], deque[Time]] = {}  # by build and exposure class
        self._answered_builds: dict[int, int] = {}  # by key of an RPC: the latest build that answered it

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """Count an RPC that has arrived; the cap on exposure is a share of the RPCs that arrive."""
        arrivals = self._arrivals[self._exposure_class(rpc.method)]
        trimmed(arrivals, now - self._window).append(rpc.arrived_at)

    def exclusion(self, now: Time, rpc: Rpc, server: Server) -> int:
        """The rule that forbids sending the RPC to the server, Exclusion.NONE if it may be sent."""
        if rpc.done or server.status != ServerStatus.READY:
            return Exclusion.DONE if rpc.done else Exclusion.NOT_READY
        if len(rpc.attempts) >= self._max_attempts or now >= rpc.deadline:
            return Exclusion.MAX_ATTEMPTS if now < rpc.deadline else Exclusion.DEADLINE
        may_have_run = [attempt for attempt in rpc.attempts if attempt.result not in NEVER_RAN]
        if may_have_run and self._repeat_is_forbidden(rpc, may_have_run):
            return Exclusion.MAY_HAVE_RUN
        if rpc.method.idempotency == Idempotency.KEYED and not all(
            self._would_deduplicate(now, attempt, server) for attempt in may_have_run
        ):
            return Exclusion.DEDUPLICATION
        if self._no_downgrade and self._is_downgrade(rpc, server):
            return Exclusion.NO_DOWNGRADE
        if not self._within_exposure(now, server.build, rpc.method):
            return Exclusion.EXPOSURE
        return Exclusion.NONE if self._warm_up.may_send(now, server) else Exclusion.WARM_UP_BUDGET

    def may_reject(self, rpc: Rpc) -> bool:
        """Whether the client may be asked to retry: its RPC did not run, or may safely run twice."""
        method = rpc.method
        if method.idempotency == Idempotency.IDEMPOTENT:
            return True
        if method.idempotency == Idempotency.KEYED and method.dedup_scope == "all":
            return True
        return all(attempt.result in NEVER_RAN for attempt in rpc.attempts)

    def send(self, now: Time, rpc: Rpc, server: Server) -> bool:
        """Send an attempt unless a rule forbids it, and return whether it was sent."""
        if self.exclusion(now, rpc, server):
            return False
        attempt = Attempt(
            rpc=rpc,
            server=server,
            number=len(rpc.attempts),
            build=server.build,
            sent_at=now,
            on_young_server=now - server.started_at < MIN_SERVER_AGE,
        )
        rpc.attempts.append(attempt)
        if not server.in_flight:
            server.answered_at = now
        server.in_flight += 1
        self._warm_up.on_send(now, server)
        sends = self._sends.setdefault((server.build, self._exposure_class(rpc.method)), deque())
        trimmed(sends, now - self._window - self._resolution).append(now)
        self._host.send(attempt, rpc.deadline)
        return True

    def on_result(self, now: Time, attempt: Attempt) -> None:
        """Update the counts after an attempt has ended."""
        attempt.server.in_flight -= 1
        self._warm_up.on_result(now, attempt)
        if attempt.result == AttemptResult.OK and self._no_downgrade and attempt.rpc.key:
            latest = self._answered_builds.get(attempt.rpc.key, 0)
            self._answered_builds[attempt.rpc.key] = max(attempt.build, latest)

    def _exposure_class(self, method: Method) -> int:
        """The index under which a method's exposure is counted: its own, or one for all methods."""
        return method.index * self._per_method

    def _within_exposure(self, now: Time, build: int, method: Method) -> bool:
        """Whether one more attempt at a build on trial stays within its cap over the exposure window."""
        trial = self._release.trial_of(build)
        if trial is None:
            return True
        if trial.step < self._idempotent_only_steps and method.idempotency != Idempotency.IDEMPOTENT:
            return False
        exposure_class = self._exposure_class(method)
        # Clocks have a limited resolution. The window is slightly shorter for arrivals and longer for
        # sends, so that the cap holds anyway.
        arrivals = trimmed(self._arrivals[exposure_class], now - self._window + self._resolution + 1)
        sends = self._sends.get((build, exposure_class))
        sent = len(trimmed(sends, now - self._window - self._resolution)) if sends is not None else 0
        return trial.cap > 0 and sent + 1 <= self._allowance + trial.cap * len(arrivals)

    def _repeat_is_forbidden(self, rpc: Rpc, may_have_run: list[Attempt]) -> bool:
        if rpc.method.idempotency == Idempotency.NON_IDEMPOTENT:
            return True
        return not self._may_duplicate and any(attempt.result is None for attempt in may_have_run)

    def _would_deduplicate(self, now: Time, attempt: Attempt, server: Server) -> bool:
        """Whether a server would recognize the repeat of an attempt by its idempotency key and drop it."""
        method = attempt.rpc.method
        scope = method.dedup_scope
        in_scope = scope == "all" or getattr(attempt.server, scope) == getattr(server, scope)
        return in_scope and now + self._resolution < attempt.sent_at + method.dedup_window

    def _is_downgrade(self, rpc: Rpc, server: Server) -> bool:
        """Whether the newest release has answered the RPC's key before and the server has an older build."""
        release = self._release
        if release.build is None or release.state not in (ReleaseState.ON_TRIAL, ReleaseState.RELEASED):
            return False
        return server.build < release.build == self._answered_builds.get(rpc.key)
