"""Rules of requests: execution at most once, correct responses, drains, retry budget and cancellation."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Sequence
from http import HTTPStatus
from typing import TYPE_CHECKING

from honeywood.lab.emulator.rules.context import RuleContext
from honeywood.lab.emulator.rules.rule import Rule
from honeywood.lab.emulator.rules.trial_rules import TrialRules

if TYPE_CHECKING:
    from honeywood.lab.emulator.machine import Machine

CANCELLATION_TIMEOUT_S = 0.5
"""The time after a client's disconnect within which machines must have stopped an idempotent request."""

NOT_EXECUTED_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
"""The statuses that guarantee that the request was not executed."""

SUCCESS_STATUSES = range(200, 300)


class RequestRules:
    """Observes requests from clients to machines and back, by the id of the client's attempt.

    `sent_times` are the times of clients' attempts by service. `retry_times` are the times at which an
    attempt arrived at a machine again after its first arrival, by service. `resets` counts connections that
    machines reset.
    """

    def __init__(self, context: RuleContext, trials: TrialRules) -> None:
        """Observe the requests of a day; `trials` is notified of requests that machines execute."""
        self.resets = 0
        self.sent_times: defaultdict[str, list[float]] = defaultdict(list)
        self.retry_times: defaultdict[str, list[float]] = defaultdict(list)
        self._context = context
        self._trials = trials
        self._idempotent: dict[bytes, bool] = {}
        self._sent_at: dict[bytes, float] = {}
        self._executions: Counter[bytes] = Counter()
        self._promised_not_executed: set[bytes] = set()
        self._arrived: set[bytes] = set()
        self._draining_since: dict[str, float] = {}  # by machine id
        self._disconnects: dict[bytes, tuple[float, str]] = {}  # the time and the proxy

    def on_sent(self, now: float, request_id: bytes, service: str, idempotent: bool) -> None:
        """Record that a client sends an attempt."""
        self._idempotent[request_id] = idempotent
        self._sent_at[request_id] = now
        self.sent_times[service].append(now)

    def on_arrival(self, now: float, request_id: bytes, machine: Machine, proxy: str) -> None:
        """Check that a machine at which an attempt arrives has not been draining for too long."""
        if request_id in self._arrived:
            self.retry_times[machine.service].append(now)
        self._arrived.add(request_id)
        since = self._draining_since.get(machine.id)
        if since is None or now <= since + self._context.bounds["drain_s"]:
            return
        if self._context.is_in_contact(now, proxy):
            details = f"{machine.id}, {now - since:.2f} s after the acknowledgement"
            self._context.report(Rule.DRAIN, now, details)

    def on_execution(self, now: float, request_id: bytes, machine: Machine, proxy: str, fails: bool) -> None:
        """Check that an attempt that a machine begins to execute may be executed."""
        self._executions[request_id] += 1
        if not self._idempotent[request_id]:
            name = request_id.decode()
            if self._executions[request_id] > 1:
                details = f"{name} was executed again at {machine.id}"
                self._context.report(Rule.AT_MOST_ONCE, now, details)
            if request_id in self._promised_not_executed:
                details = f"{name} was executed after a response that guaranteed that it was not"
                self._context.report(Rule.NOT_EXECUTED, now, details)
        self._trials.on_execution(now, machine, proxy, self._sent_at[request_id], fails)

    def on_disconnect(self, now: float, request_id: bytes, proxy: str) -> None:
        """Record that a client closes its connection before it received a response."""
        self._disconnects[request_id] = now, proxy

    def on_execution_end(self, now: float, request_id: bytes) -> None:
        """Check that an execution ends, completed or cancelled, soon after its client's disconnect."""
        disconnected_at, proxy = self._disconnects.get(request_id, (now, ""))
        is_late = self._idempotent.get(request_id) and now - disconnected_at > CANCELLATION_TIMEOUT_S
        in_contact = self._context.is_in_contact
        if is_late and in_contact(disconnected_at, proxy) and in_contact(now, proxy):
            details = f"{request_id.decode()} ran {now - disconnected_at:.2f} s after its client disconnected"
            self._context.report(Rule.CANCELLATION, now, details)

    def on_response(self, now: float, request_id: bytes, status: int, body: bytes) -> None:
        """Check a response that a client receives."""
        name = request_id.decode()
        if status in NOT_EXECUTED_STATUSES:
            self._promised_not_executed.add(request_id)
            if not self._idempotent[request_id] and self._executions[request_id]:
                details = f"{name} was answered {status} but had been executed"
                self._context.report(Rule.NOT_EXECUTED, now, details)
        if status in SUCCESS_STATUSES and body != request_id:
            self._context.report(Rule.OWN_RESPONSE, now, f"{name} received the response to {body!r}")

    def on_reset(self) -> None:
        """Count a connection that a machine resets because it has reached its maximum of connections."""
        self.resets += 1

    def on_draining(self, now: float, machine_id: str) -> None:
        """Record that a machine's draining was acknowledged."""
        self._draining_since.setdefault(machine_id, now)

    def close(self) -> None:
        """Check the number of retries against the number of requests of the same period."""
        for service, times in self.retry_times.items():
            for index, time in enumerate(times):
                if self._check_budget(service, time, times, index):
                    break

    def _check_budget(self, service: str, time: float, times: Sequence[float], index: int) -> bool:
        """Check the retries in the window that ends at retry `index`; return whether there are too many."""
        bounds = self._context.bounds
        window_s = bounds["retry_win_s"]
        retries = index + 1 - bisect_left(times, time - window_s)
        requests = self._most_requests(self.sent_times[service], time, window_s)
        if retries <= bounds["retry_ratio"] * requests + bounds["retry_slack"]:
            return False
        details = f"{service}: {retries} retries for {requests} requests"
        self._context.report(Rule.RETRY_BUDGET, time, details)
        return True

    @staticmethod
    def _most_requests(sent_times: Sequence[float], time: float, window_s: float) -> int:
        """Return the most requests in the window that ends at `time`, half a window or one window earlier."""
        return max(
            bisect_left(sent_times, time - back * window_s)
            - bisect_left(sent_times, time - (back + 1) * window_s)
            for back in (0.0, 1.0, 0.5)
        )
