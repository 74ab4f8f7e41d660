"""The rules of a soak test on the rollout of a new version. Pure.

As on the users' pages, the bounds hold for requests through a proxy in contact only: neither the proxy nor
any controller was disturbed for CONTACT_S.
"""

from __future__ import annotations

from collections.abc import Iterator

from honeywood.gateway.rollout.record import RolloutState
from honeywood.lab.emulator.boot import BOUNDS
from honeywood.lab.soak.record import Execution, Record, RolloutObservation
from honeywood.lab.soak.version_plan import Defect

CONTACT_S = BOUNDS["contact_s"]
CANARY_SHARE, CANARY_SLACK = BOUNDS["canary_share"], BOUNDS["canary_slack"]
ROLLBACK_S = BOUNDS["rollback_s"]
ROLLBACK_ANSWERS = 50
"""Bad answers after which the version gets no more requests within ROLLBACK_S."""


def find_exposure(record: Record, controllers: frozenset[str]) -> Iterator[str]:
    """Return what violates the bounds on the exposure of a version with a defect."""
    rollout = record.rollout
    if rollout is None or rollout.defect is Defect.NONE:
        return
    executions = [one for one in record.executions if one.service == rollout.service]
    yield from _check_share(rollout, executions, record, controllers)
    yield from _check_rollback(rollout, executions, record, controllers)


def find_wrong_outcome(record: Record) -> Iterator[str]:
    """Return a message if a version with a defect is done, or one without is reverted."""
    rollout = record.rollout
    if rollout is None:
        return
    wrong = RolloutState.REVERTED if rollout.defect is Defect.NONE else RolloutState.DONE
    if rollout.state == wrong:
        yield f"the {rollout.defect} version {rollout.version} of {rollout.service} is {rollout.state}"


def _check_share(
    rollout: RolloutObservation, executions: list[Execution], record: Record, controllers: frozenset[str]
) -> Iterator[str]:
    end = rollout.ordered_at + rollout.duration_s
    meanwhile = [one for one in executions if rollout.ordered_at <= one.began_at < end]
    exposed = sum(
        one.version == rollout.version and is_in_contact(record, one, controllers) for one in meanwhile
    )
    allowed = CANARY_SHARE * len(meanwhile) + CANARY_SLACK
    if exposed > allowed:
        yield f"{rollout.version} executed {exposed} requests of {len(meanwhile)}, allowed {allowed:.0f}"


def _check_rollback(
    rollout: RolloutObservation, executions: list[Execution], record: Record, controllers: frozenset[str]
) -> Iterator[str]:
    exposed = [one for one in executions if one.version == rollout.version]
    settled_at = max(
        (end for name in controllers for _, end in record.disturbances[name]), default=float("-inf")
    )
    bad_at = sorted(
        one.ended_at
        for one in exposed
        if one.is_bad and one.ended_at is not None and one.ended_at > settled_at
    )
    if len(bad_at) < ROLLBACK_ANSWERS:
        return
    limit = bad_at[ROLLBACK_ANSWERS - 1] + ROLLBACK_S
    late = [one for one in exposed if record.requests[one.request_id].sent_at > limit]
    late = [one for one in late if is_in_contact(record, one, controllers)]
    if late:
        bound = f"{ROLLBACK_S:g} s after {ROLLBACK_ANSWERS} bad answers"
        yield f"{rollout.version} executed {len(late)} requests later than {bound}"


def is_in_contact(record: Record, execution: Execution, controllers: frozenset[str]) -> bool:
    """Return whether the execution's proxy and all controllers were undisturbed for CONTACT_S before it."""
    proxy = record.requests[execution.request_id].proxy
    since, until = execution.began_at - CONTACT_S, execution.began_at
    return not any(
        begin < until and end > since
        for name in (proxy, *controllers)
        for begin, end in record.disturbances[name]
    )
