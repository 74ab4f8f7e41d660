"""Soaks of many seeds, several at once."""

import os
from collections.abc import Callable
from multiprocessing import get_context
from pathlib import Path

from honeywood.lab.soak.run import Outcome, play

SLOTS = 200  # addresses 127.1 to 127.200, one for each soak under way


def _one(given: tuple[int, float, int, str | None]) -> Outcome:
    return play(*given)


def series(
    first: int, count: int, seconds: float, jobs: int, folder: Path | None, told: Callable[[Outcome], None]
) -> list[Outcome]:
    """Plays the seeds from `first` on; `told` hears of each as it ends. Logs and disks stay in `folder`, one
    subfolder a seed, where it is given."""
    first_slot = os.getpid()  # other series on this machine get other addresses
    works = [
        (seed, seconds, 1 + (first_slot + at) % SLOTS, str(folder / str(seed)) if folder else None)
        for at, seed in enumerate(range(first, first + count))
    ]
    found = []
    with get_context("spawn").Pool(jobs) as pool:
        for outcome in pool.imap_unordered(_one, works):
            found.append(outcome)
            told(outcome)
    return found


def line(outcome: Outcome) -> str:
    """One soak in a line, its breaches below."""
    kinds = ", ".join(trouble.kind.value for trouble in outcome.troubles)
    head = (
        f"seed {outcome.seed}: {outcome.tries} requests, {outcome.served} served,"
        f" {outcome.left} left by their clients, {outcome.runs} runs,"
        f" observer late by {outcome.observer_lag_s:.2f} s, {len(outcome.breaches)} broken ({kinds})"
    )
    return "\n".join([head, *(f"  {breach.rule}: {breach.why}" for breach in outcome.breaches)])
