"""Runs soak tests of several seeds, some of them in parallel."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

from honeywood.lab.soak.soak import Outcome, SoakSettings, run_soak


@dataclass(frozen=True, slots=True)
class SoakJob:
    """The arguments of one soak."""

    seed: int
    traffic_s: float
    folder: Path | None
    settings: SoakSettings


def _run(job: SoakJob) -> Outcome:
    return run_soak(job.seed, job.traffic_s, job.folder, job.settings)


def run_series(
    first_seed: int,
    count: int,
    traffic_s: float,
    concurrency: int,
    folder: Path | None,
    on_outcome: Callable[[Outcome], None],
    settings: SoakSettings = SoakSettings(),
) -> list[Outcome]:
    """Run `count` soaks of consecutive seeds, `concurrency` at a time.

    `on_outcome` is called with each outcome as soon as its soak ends. Logs and data are kept in `folder`, in
    a subfolder for each seed, if it is given.
    """
    jobs = [
        SoakJob(seed, traffic_s, folder / str(seed) if folder else None, settings)
        for seed in range(first_seed, first_seed + count)
    ]
    outcomes = []
    with get_context("spawn").Pool(concurrency) as pool:
        for outcome in pool.imap_unordered(_run, jobs):
            outcomes.append(outcome)
            on_outcome(outcome)
    return outcomes


def summary(outcome: Outcome) -> str:
    """Return lines that describe one soak, its counts, and each violation with the requests' course."""
    kinds = ", ".join(fault.kind.value for fault in outcome.faults)
    head = (
        f"seed {outcome.seed}: {outcome.requests} requests, {outcome.served} served,"
        f" {outcome.disconnected} abandoned by clients, {outcome.executions} executions,"
        f" observer lag {outcome.observer_lag_s:.2f} s, {len(outcome.violations)} violations ({kinds})"
    )
    rollout = outcome.rollout
    if rollout is not None:
        head += f"; {rollout.defect} {rollout.version} of {rollout.service}: {rollout.state or 'unknown'}"
    lines = [head, "  " + ", ".join(f"{name} {count}" for name, count in sorted(outcome.counts.items()))]
    for violation in outcome.violations:
        lines.append(f"  {violation.rule}: {violation.details}")
        lines += [f"    {line}" for line in outcome.courses[violation.details]]
    return "\n".join(lines)
