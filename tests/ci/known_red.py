"""Reads KNOWN-RED.txt, the list of tests that fail because of a real fault that isn't fixed yet.

Each line is `test | cause | issue`. A test is named by its file and its name there:
`tests/trace/test_rules.py::test_name` for pytest, `tests/gateway/rollout/test_evaluator.py::description as
written` for ward. The name covers all cases of the test.
"""

from dataclasses import dataclass
from pathlib import Path

FILE = "KNOWN-RED.txt"
MAX_LINES = 3  # the maintainers' rule: fix faults rather than list them
SEPARATOR = " | "


class KnownRedError(ValueError):
    """KNOWN-RED.txt can't be used; the text names the line and the reason."""


def is_case_of(name: str, test: str) -> bool:
    """Return whether `name` is the test or one of its cases, `test[case]`."""
    return name == test or name.startswith(f"{test}[")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One listed test."""

    test: str
    cause: str
    issue: str

    def covers(self, name: str) -> bool:
        """Return whether `name` is this test or one of its cases."""
        return is_case_of(name, self.test)


def parse(text: str) -> list[KnownRed]:
    """Return the listed tests.

    Raises:
        KnownRedError: a line lacks a part, or there are too many lines.
    """
    lines = text.splitlines()
    if len(lines) > MAX_LINES:
        raise KnownRedError(f"{FILE}: {len(lines)} lines, {MAX_LINES} at most")
    return [_parse_line(number, line) for number, line in enumerate(lines, 1)]


def _parse_line(number: int, line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts):
        raise KnownRedError(f"{FILE}:{number}: expected `test{SEPARATOR}cause{SEPARATOR}issue`")
    return KnownRed(*parts)


def read(root: Path) -> list[KnownRed]:
    """Return the tests listed in the file at the root of the repository; none if there is no file."""
    path = root / FILE
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def check_collected(known: list[KnownRed], collected: list[str]) -> None:
    """Check that every listed test was collected.

    Raises:
        KnownRedError: a listed test doesn't exist; it was renamed or removed.
    """
    for entry in known:
        if not any(entry.covers(name) for name in collected):
            raise KnownRedError(f"{FILE}: no test is called {entry.test}")
