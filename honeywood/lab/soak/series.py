"""Soaks of many seeds, several at once."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

from honeywood.lab.soak.soak import Outcome, run_soak

SLOTS = 200
"""Addresses 127.1 to 127.200, one for each soak that runs."""


@dataclass(frozen=True, slots=True)
class SoakJob:
    """The arguments of one soak."""

    seed: int
    traffic_s: float
    slot: int
    folder: Path | None


def _run(job: SoakJob) -> Outcome:
    return run_soak(job.seed, job.traffic_s, job.slot, job.folder)


def run_series(
    first_seed: int,
    count: int,
    traffic_s: float,
    concurrency: int,
    folder: Path | None,
    on_outcome: Callable[[Outcome], None],
) -> list[Outcome]:
    """Run `count` seeds; `on_outcome` is called with each outcome as its soak ends.

    Logs and disks are kept in `folder`, a subfolder for each seed, where it is given.
    """
    jobs = [
        SoakJob(seed, traffic_s, slot_of_process(index), folder / str(seed) if folder else None)
        for index, seed in enumerate(range(first_seed, first_seed + count))
    ]
    outcomes = []
    with get_context("spawn").Pool(concurrency) as pool:
        for outcome in pool.imap_unordered(_run, jobs):
            outcomes.append(outcome)
            on_outcome(outcome)
    return outcomes


def slot_of_process(index: int = 0) -> int:
    """Return the slot of a soak of this process; those of other processes on the machine differ."""
    return 1 + (os.getpid() + index) % SLOTS


def summary(outcome: Outcome) -> str:
    """Return one soak as a line, with a line for each violation."""
    kinds = ", ".join(fault.kind.value for fault in outcome.faults)
    head = (
        f"seed {outcome.seed}: {outcome.requests} requests, {outcome.served} served,"
        f" {outcome.disconnected} left by their clients, {outcome.executions} runs,"
        f" observer late by {outcome.observer_lag_s:.2f} s, {len(outcome.violations)} broken ({kinds})"
    )
    return "\n".join(
        [head, *(f"  {violation.rule}: {violation.details}" for violation in outcome.violations)]
    )
