"""Distributes ward's tests to processes and adds up their outcomes. Starts no process."""

import json
from dataclasses import asdict, dataclass
from math import ceil
from pathlib import Path

# Test functions per shard: few enough that no shard takes much longer than the others (the longest function
# takes a twelfth of the total time), and enough that the start of a process, about 1 s, is negligible.
TESTS_PER_SHARD = 5
SUCCESSFUL_OUTCOMES = ("PASS", "XFAIL")  # as ward names them


@dataclass(frozen=True, slots=True)
class Shard:
    """A file of tests, or every `parts`-th test of it, beginning with number `part`."""

    file: str
    part: int = 0
    parts: int = 1

    def __str__(self) -> str:
        return f"{self.file} {self.part + 1}/{self.parts}"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one case of a test, as ward names it, and its duration."""

    name: str
    case: int
    outcome: str
    seconds: float = 0.0

    @property
    def file(self) -> str:
        """The path of the file that holds the test."""
        return self.name.partition("::")[0]

    @property
    def case_name(self) -> str:
        """The name of the test and the number of the case."""
        return f"{self.name}[{self.case}]"


@dataclass(frozen=True, slots=True)
class Report:
    """Counts of tests, and of shards that failed without a failed test."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    aborted_shards: int = 0

    @classmethod
    def of(cls, outcomes: list[Outcome] | None, status: int) -> "Report":
        """Return the counts of one shard; `outcomes` is None if the shard wrote none."""
        if outcomes is None:
            return cls(aborted_shards=1)
        passed = sum(outcome.outcome in SUCCESSFUL_OUTCOMES for outcome in outcomes)
        skipped = sum(outcome.outcome == "SKIP" for outcome in outcomes)
        failed = len(outcomes) - passed - skipped
        return cls(passed, failed, skipped, aborted_shards=int(status != 0 and not failed))

    def __add__(self, other: "Report") -> "Report":
        return Report(
            self.passed + other.passed,
            self.failed + other.failed,
            self.skipped + other.skipped,
            self.aborted_shards + other.aborted_shards,
        )

    def __str__(self) -> str:
        skipped = f", {self.skipped} skipped" if self.skipped else ""
        return f"{self.passed} passed, {self.failed} failed{skipped}"

    @property
    def total(self) -> int:
        """The number of tests that were run or skipped."""
        return self.passed + self.failed + self.skipped

    @property
    def succeeded(self) -> bool:
        """Whether no test and no shard failed."""
        return not self.failed and not self.aborted_shards


def plan(collected: list[Outcome]) -> list[Shard]:
    """Return the shards that run all collected tests, those of files with the most test functions first."""
    files: dict[str, set[str]] = {}
    for outcome in collected:
        files.setdefault(outcome.file, set()).add(outcome.name)
    order = sorted(files, key=lambda file: (-len(files[file]), file))
    parts = {file: ceil(len(files[file]) / TESTS_PER_SHARD) for file in order}
    return [Shard(file, part, parts[file]) for file in order for part in range(parts[file])]


def write_outcomes(path: Path, outcomes: list[Outcome]) -> None:
    """Write a shard's outcomes, for `read_outcomes`."""
    path.write_text(json.dumps([asdict(outcome) for outcome in outcomes]))


def read_outcomes(path: Path) -> list[Outcome] | None:
    """Return the outcomes that a shard wrote; None if it wrote none."""
    if not path.exists():
        return None
    return [Outcome(**entry) for entry in json.loads(path.read_text())]


def count_mismatch(expected: int, report: Report) -> str | None:
    """Return what is wrong if shards failed or the number of tests isn't as expected; None otherwise."""
    if report.aborted_shards:
        return f"{report.aborted_shards} shards failed without a failed test"
    if report.total != expected:
        return f"{report.total} tests were run, not {expected}"
    return None
