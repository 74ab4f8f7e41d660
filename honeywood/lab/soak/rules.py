"""The rules that a soak test checks on its record. Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from honeywood.lab.emulator.rules.request_rules import CANCELLATION_TIMEOUT_S, NOT_EXECUTED_STATUSES
from honeywood.lab.soak.record import ClientRequest, Execution, Record
from honeywood.lab.soak.rollout_rules import find_exposure, find_wrong_outcome

UNDISTURBED_S = 1.0
"""The time before and after a disconnect in which no fault may affect the proxy.

Otherwise the cancellation isn't checked.
"""

MIN_SERVED_SHARE = 0.5
"""Of the requests whose clients do not disconnect early."""


class Rule(StrEnum):
    """A rule that every soak must satisfy; the values are shown to operators."""

    CANCELLATION = "cancellation"
    """Machines stop an idempotent request within CANCELLATION_TIMEOUT_S of its client's disconnect."""
    AT_MOST_ONCE = "at most once"
    """A request that is not idempotent is executed at most once, and so is an operation of a client."""
    NOT_EXECUTED = "not executed"
    """A request that is not idempotent is never executed if its client may send it again.

    It was answered 408, 421, 429 or 503, or stood behind a response that closed the connection.
    """
    RESPONSE = "response"
    """A request that was executed gets a response, unless its proxy was killed meanwhile."""
    OWN_RESPONSE = "own response"
    """A successful response belongs to the request that the client sent."""
    TENANT = "tenant"
    """A machine receives the name of a tenant that owned the client's key in some configuration."""
    API_KEY = "api key"
    """No request with an unknown key is executed, and no machine receives a key."""
    DURABILITY = "durability"
    """The newest acknowledged configuration is read back at the end."""
    NO_LEAK = "no leak"
    """No proxy has an open request or attempt after all clients have left."""
    NO_ERROR = "no error"
    """No process logs a violated invariant or an unexpected failure."""
    EXPOSURE = "exposure"
    """A version with a defect gets no more requests than the bounds allow, and none after its rollback."""
    ROLLOUT_OUTCOME = "rollout outcome"
    """A new version with a defect isn't done, and one without isn't reverted."""
    AVAILABILITY = "availability"
    """At least MIN_SERVED_SHARE of the requests whose clients do not disconnect early are served."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, with details of the violation."""

    rule: Rule
    details: str


def find_violations(record: Record, controllers: frozenset[str] = frozenset()) -> list[Violation]:
    """Return every violation; `controllers` are the names of the controllers in the record."""
    violations = [Violation(Rule.NO_ERROR, line) for line in record.errors]
    executions: dict[bytes, list[Execution]] = defaultdict(list)
    for execution in record.executions:
        executions[execution.request_id].append(execution)
    for request in record.requests.values():
        violations += _check_request(request, executions[request.id], record)
    violations += _check_operations(record, executions)
    violations += [Violation(Rule.EXPOSURE, details) for details in find_exposure(record, controllers)]
    violations += [Violation(Rule.ROLLOUT_OUTCOME, details) for details in find_wrong_outcome(record)]
    violations += _check_end(record)
    return violations


def _check_request(
    request: ClientRequest, executions: Sequence[Execution], record: Record
) -> Iterator[Violation]:
    name = request.id.decode()
    if not request.idempotent:
        yield from _check_executions(request, len(executions))
    if request.status == HTTPStatus.OK and request.body != request.id:
        yield Violation(Rule.OWN_RESPONSE, f"{name} received {request.body!r}")
    if executions and request.unanswered_at is not None and not _was_killed(request, record):
        yield Violation(Rule.RESPONSE, f"{name} was executed, and its connection ended without a response")
    for execution in executions:
        yield from _check_identity(request, execution, record)
    if request.idempotent and not _is_disturbed(request, request.proxy, record):
        observable = [one for one in executions if not _is_disturbed(request, one.machine, record)]
        yield from _check_cancellation(request, observable, record.observer_lag_s)


def _was_killed(request: ClientRequest, record: Record) -> bool:
    """Return whether the proxy was killed before the request's connection ended without a response."""
    end = request.unanswered_at
    return end is not None and any(request.sent_at <= at <= end for at in record.kills[request.proxy])


def _check_executions(request: ClientRequest, count: int) -> Iterator[Violation]:
    name = request.id.decode()
    if count > 1:
        yield Violation(Rule.AT_MOST_ONCE, f"{name} was executed {count} times")
    if request.status in NOT_EXECUTED_STATUSES and count:
        yield Violation(Rule.NOT_EXECUTED, f"{name} was answered {request.status} and executed")
    if request.is_unread and count:
        yield Violation(Rule.NOT_EXECUTED, f"{name} stood behind a closing response and was executed")


def _check_operations(record: Record, executions: Mapping[bytes, Sequence[Execution]]) -> Iterator[Violation]:
    """Check that operations that several requests stand for are executed at most once."""
    counts: Counter[bytes] = Counter()
    for request in record.requests.values():
        if not request.idempotent:
            counts[request.operation or request.id] += min(1, len(executions[request.id]))
    for operation, count in counts.items():
        if count > 1:
            yield Violation(Rule.AT_MOST_ONCE, f"{count} requests of operation {operation.decode()} executed")


def _check_identity(request: ClientRequest, execution: Execution, record: Record) -> Iterator[Violation]:
    name = request.id.decode()
    if execution.has_api_key:
        yield Violation(Rule.API_KEY, f"{name} reached its machine with an API key")
    if request.key not in record.owners:
        yield Violation(Rule.API_KEY, f"{name} was executed with an unknown key")
    elif execution.tenant not in record.owners[request.key]:
        yield Violation(Rule.TENANT, f"{name} was executed for {execution.tenant!r}")


def _check_cancellation(
    request: ClientRequest, executions: Sequence[Execution], observer_lag_s: float
) -> Iterator[Violation]:
    if request.disconnected_at is None:
        return
    for execution in executions:
        ended_at = float("inf") if execution.ended_at is None else execution.ended_at
        after_s = ended_at - request.disconnected_at
        if after_s > CANCELLATION_TIMEOUT_S + observer_lag_s:
            details = (
                f"{request.id.decode()} via {request.proxy}: {after_s:.2f} s, lag {observer_lag_s:.2f} s"
            )
            yield Violation(Rule.CANCELLATION, details)


def _is_disturbed(request: ClientRequest, name: str, record: Record) -> bool:
    """Return whether a fault affected a process or a machine around the time of the client's disconnect.

    A paused machine reads neither a request nor the end of its connection, and both when it continues.
    """
    if request.disconnected_at is None:
        return False
    begin, end = request.disconnected_at - UNDISTURBED_S, request.disconnected_at + UNDISTURBED_S
    return any(since < end and until > begin for since, until in record.disturbances[name])


def _check_end(record: Record) -> Iterator[Violation]:
    """Check the rules about the state at the end of the soak."""
    read, acknowledged = record.read_back_version, record.acknowledged_version
    if read != acknowledged:
        yield Violation(Rule.DURABILITY, f"{read} is read back instead of {acknowledged}")
    for proxy, count in record.open_at_end.items():
        if count:
            yield Violation(Rule.NO_LEAK, f"{proxy}: {count:g} requests and attempts open")
    stayed = [request for request in record.requests.values() if request.disconnected_at is None]
    served = sum(request.status == HTTPStatus.OK for request in stayed)
    if served < MIN_SERVED_SHARE * len(stayed):
        yield Violation(Rule.AVAILABILITY, f"{served} served of {len(stayed)}")
