"""Outcomes of days as text, tables and a chart."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from honeywood.lab.emulator.day import Day, Outcome
from honeywood.lab.emulator.emulated_day import WARM_UP_S
from honeywood.lab.emulator.faults.draw import draw_day

if TYPE_CHECKING:
    from pathlib import Path

MAX_SHOWN_VIOLATIONS = 8
ALL_DAYS = "all"


class PlayedDay(NamedTuple):
    """A day and its outcome."""

    day: Day
    outcome: Outcome


def table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with a header row as text that is also valid Markdown."""
    cells = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    lines = [
        "| " + " | ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) + " |"
        for row in cells
    ]
    rule = "| " + " | ".join("-" * width for width in widths) + " |"
    return "\n".join([lines[0], rule, *lines[1:]])


def describe(day: Day, outcome: Outcome) -> str:
    """Return a day's outcome in a few lines."""
    results = ", ".join(f"{result}: {count}" for result, count in outcome.results.most_common())
    faults = ", ".join(f"{fault.kind} at {fault.at_s:g} s" for fault in day.faults) or "none"
    lines = [f"  {violation}" for violation in outcome.violations[:MAX_SHOWN_VIOLATIONS]]
    violations = "\n".join(lines) or "  none"
    return (
        f"seed {day.seed}: worth {outcome.mean_worth:.3f} of {outcome.requests} requests\n"
        f"faults: {faults}\nresults: {results}\n"
        f"retries at machines {outcome.retries}, connections reset {outcome.resets}\n"
        f"violated rules:\n{violations}"
    )


class _Shares:
    """The mean worth of days with one kind of fault, with the real router and with an omniscient one."""

    def __init__(self) -> None:
        self.days = 0
        self._worth = 0.0
        self._best_worth = 0.0

    def add(self, outcome: Outcome, best: Outcome) -> None:
        """Add a day, given its outcomes with the real router and with the omniscient one."""
        self.days += 1
        self._worth += outcome.mean_worth
        self._best_worth += best.mean_worth

    @property
    def share(self) -> float:
        """The worth with the real router divided by that with the omniscient one."""
        return self._worth / self._best_worth

    def row(self, kind: str) -> tuple[object, ...]:
        """Return the row of `kind` in the table."""
        worth, best_worth = self._worth / self.days, self._best_worth / self.days
        return kind, self.days, f"{worth:.3f}", f"{best_worth:.3f}", f"{self.share:.3f}"


class Comparison(NamedTuple):
    """A table of worth by kind of fault, and the played days in ascending order of worth."""

    text: str
    played: list[PlayedDay]


def compare_with_omniscient_router(
    shape: Day, seeds: Iterable[int], play: Callable[[Day], Outcome]
) -> Comparison:
    """Play each day with the real router and with an omniscient one."""
    by_kind: dict[str, _Shares] = {}
    played = []
    for seed in seeds:
        day = draw_day(replace(shape, seed=seed))
        outcome, best = play(day), play(replace(day, omniscient_routing=True))
        played.append(PlayedDay(day, outcome))
        for kind in {str(fault.kind) for fault in day.faults} | {ALL_DAYS}:
            by_kind.setdefault(kind, _Shares()).add(outcome, best)
    kinds = sorted(by_kind, key=lambda kind: by_kind[kind].share)
    rows = [by_kind[kind].row(kind) for kind in kinds]
    played.sort(key=lambda played_day: played_day.outcome.mean_worth)
    return Comparison(table(("days with", "days", "ours", "omniscient router", "share"), rows), played)


def sweep(sizes: Iterable[int], play: Callable[[Day], Outcome], seeds: Sequence[int]) -> str:
    """Return a table of outcomes by number of proxies."""
    rows = []
    for proxies in sizes:
        outcomes = [play(draw_day(Day(seed, proxies=proxies))) for seed in seeds]
        requests = sum(outcome.requests for outcome in outcomes)
        rows.append(
            (
                proxies,
                len(outcomes),
                f"{sum(outcome.worth for outcome in outcomes) / requests:.3f}",
                f"{sum(outcome.retries for outcome in outcomes) / requests:.3f}",
                sum(outcome.resets for outcome in outcomes),
                sum(bool(outcome.violations) for outcome in outcomes),
            )
        )
    return table(("fronts", "days", "worth", "retries per request", "resets", "failed days"), rows)


def chart(path: str | Path, days: Mapping[str, PlayedDay]) -> None:
    """Draw the mean worth per second of traffic of each named day, with its faults, into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    height = 2.2 * len(days)
    figure, rows = pyplot.subplots(len(days), 1, figsize=(9, height), squeeze=False, sharex=True)
    for axes, (name, (day, outcome)) in zip(rows[:, 0], days.items(), strict=True):
        times = sorted(outcome.seconds)
        seconds = [outcome.seconds[time] for time in times]
        axes.step(times, [second.worth / max(1, second.requests) for second in seconds], where="post")
        for fault in day.faults:
            began_at = WARM_UP_S + fault.at_s
            axes.axvspan(began_at, began_at + fault.duration_s, alpha=0.15)
            axes.text(began_at, 0.05, fault.kind, rotation=90, fontsize=7)
        axes.set(title=name, ylim=(0, 1.05), ylabel="mean worth")
    rows[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
