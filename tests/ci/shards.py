"""How ward's tests are dealt out to processes, and how what came of them is added up; starts no process."""

import json
from dataclasses import asdict, dataclass
from math import ceil
from pathlib import Path

# Test functions a shard: few enough that no shard lasts much longer than the rest (the longest function takes
# a twelfth of all), enough that starting a process, some 1 s, doesn't count.
TESTS_A_SHARD = 5
GOOD = ("PASS", "XFAIL")  # ward's words


@dataclass(frozen=True, slots=True)
class Shard:
    """A file of tests, or every `parts`-th test of it from `part` on."""

    file: str
    part: int = 0
    parts: int = 1

    def __str__(self) -> str:
        return f"{self.file} {self.part + 1}/{self.parts}"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one case of a test, in ward's word, and how long it took."""

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
        """The test's name and its case's number."""
        return f"{self.name}[{self.case}]"


@dataclass(frozen=True, slots=True)
class Report:
    """Counts of tests, and of shards that ended badly without a test that failed."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    bad_shards: int = 0

    @classmethod
    def of(cls, outcomes: list[Outcome] | None, status: int) -> "Report":
        """The counts of one shard; None where it wrote no outcomes."""
        if outcomes is None:
            return cls(bad_shards=1)
        passed = sum(outcome.outcome in GOOD for outcome in outcomes)
        skipped = sum(outcome.outcome == "SKIP" for outcome in outcomes)
        failed = len(outcomes) - passed - skipped
        return cls(passed, failed, skipped, bad_shards=int(status != 0 and not failed))

    def __add__(self, other: "Report") -> "Report":
        return Report(
            self.passed + other.passed,
            self.failed + other.failed,
            self.skipped + other.skipped,
            self.bad_shards + other.bad_shards,
        )

    def __str__(self) -> str:
        skipped = f", {self.skipped} skipped" if self.skipped else ""
        return f"{self.passed} passed, {self.failed} failed{skipped}"

    @property
    def total(self) -> int:
        """Tests that were run or skipped."""
        return self.passed + self.failed + self.skipped

    @property
    def good(self) -> bool:
        """Whether nothing failed."""
        return not self.failed and not self.bad_shards


def plan(collected: list[Outcome]) -> list[Shard]:
    """The shards that together run what was collected; files with the most test functions begin first."""
    files: dict[str, set[str]] = {}
    for outcome in collected:
        files.setdefault(outcome.file, set()).add(outcome.name)
    order = sorted(files, key=lambda file: (-len(files[file]), file))
    parts = {file: ceil(len(files[file]) / TESTS_A_SHARD) for file in order}
    return [Shard(file, part, parts[file]) for file in order for part in range(parts[file])]


def write_outcomes(path: Path, outcomes: list[Outcome]) -> None:
    """Written by a shard, for `read_outcomes`."""
    path.write_text(json.dumps([asdict(outcome) for outcome in outcomes]))


def read_outcomes(path: Path) -> list[Outcome] | None:
    """What a shard wrote; None where it wrote nothing."""
    if not path.exists():
        return None
    return [Outcome(**entry) for entry in json.loads(path.read_text())]


def compare(wanted: int, report: Report) -> str | None:
    """What is wrong where not as many tests were run as were to be."""
    if report.bad_shards:
        return f"{report.bad_shards} shards ended badly without a result"
    if report.total != wanted:
        return f"{report.total} tests were run of {wanted}"
    return None
