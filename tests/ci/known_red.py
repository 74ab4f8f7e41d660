"""KNOWN-RED.txt: tests that fail for a real fault which could not be mended yet, one a line as
`test | cause | issue`.

A test is named by its file and what it is called there: `tests/trace/test_rules.py::test_name` for pytest,
`tests/gateway/rollout/test_evaluator.py::description as written` for ward; all its cases are meant.
"""

from dataclasses import dataclass
from pathlib import Path

FILE = "KNOWN-RED.txt"
MOST_LINES = 3  # the maintainers' rule: rather mend than list
SEPARATOR = " | "


class KnownRedError(ValueError):
    """KNOWN-RED.txt can't be used; says which line and why."""


def is_case_of(name: str, test: str) -> bool:
    """Whether `name` is the test or one of its cases, `test[case]`."""
    return name == test or name.startswith(f"{test}[")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One listed test."""

    test: str
    cause: str
    issue: str

    def covers(self, name: str) -> bool:
        """Whether `name` is this test or one of its cases."""
        return is_case_of(name, self.test)


def parse(text: str) -> list[KnownRed]:
    """The listed tests; KnownRedError where a line lacks a part or there are too many."""
    lines = text.splitlines()
    if len(lines) > MOST_LINES:
        raise KnownRedError(f"{FILE}: {len(lines)} lines, {MOST_LINES} at most")
    return [_parse_line(number, line) for number, line in enumerate(lines, 1)]


def _parse_line(number: int, line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts):
        raise KnownRedError(f"{FILE}:{number}: expected `test{SEPARATOR}cause{SEPARATOR}issue`")
    return KnownRed(*parts)


def read(root: Path) -> list[KnownRed]:
    """The tests listed at the root of the repository; none where there is no such file."""
    path = root / FILE
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def check_collected(known: list[KnownRed], collected: list[str]) -> None:
    """KnownRedError where a listed test is not among those collected: it was renamed or taken away."""
    for entry in known:
        if not any(entry.covers(name) for name in collected):
            raise KnownRedError(f"{FILE}: no test is called {entry.test}")
