"""The CI runner: shards, counts and known failures."""

import subprocess
import sys

import pytest
import run_tests
from known_red import KnownRed, KnownRedError, check_collected, parse, read
from shards import (
    TESTS_PER_SHARD,
    Outcome,
    Report,
    Shard,
    count_mismatch,
    plan,
    read_outcomes,
    write_outcomes,
)
from ward_shard import Selection

RED = "tests/a.py::t | the clock is read twice | issue 7"


def test_every_test_is_in_exactly_one_shard():
    names = [f"tests/gateway/test_long.py::t{number}" for number in range(TESTS_PER_SHARD * 2 + 1)]
    collected = [Outcome(name, case, "DRYRUN") for name in names for case in range(3)]
    shards = plan([Outcome("tests/gateway/test_short.py::t", 0, "DRYRUN"), *collected])
    assert shards[-1] == Shard("tests/gateway/test_short.py", 0, 1)
    assert {(shard.file, shard.parts) for shard in shards[:-1]} == {("tests/gateway/test_long.py", 3)}
    selected = [Selection("", shard.part, shard.parts, skip=(names[3],)).pick(names) for shard in shards[:-1]]
    assert sorted(sum(selected, [])) == [index for index in range(len(names)) if index != 3]


def test_a_selection_and_outcomes_are_read_as_written(tmp_path):
    selection = Selection("results", 1, 3, ("a",), ("b",))
    assert Selection.decode(selection.encode()) == selection
    assert selection.pick(["a", "b", "b"]) == [2]
    outcomes = [Outcome("a", 0, "PASS", 0.5)]
    write_outcomes(tmp_path / "results", outcomes)
    assert read_outcomes(tmp_path / "results") == outcomes


@pytest.mark.parametrize("outcome", ["FAIL", "XPASS", "an outcome of a later ward"])
def test_an_unknown_outcome_counts_as_a_failure(outcome):
    report = Report.of([Outcome("a", 0, "PASS"), Outcome("a", 1, outcome), Outcome("b", 0, "SKIP")], 1)
    assert (str(report), report.total, report.succeeded) == ("1 passed, 1 failed, 1 skipped", 3, False)


def test_a_shard_without_outcomes_or_with_an_error_status_fails(tmp_path):
    without_outcomes = Report.of(read_outcomes(tmp_path / "none"), 0)
    with_error_status = Report.of([Outcome("a", 0, "PASS")], 1)
    for report in (without_outcomes, with_error_status, without_outcomes + Report(5)):
        assert not report.succeeded and count_mismatch(report.total, report)


def test_a_wrong_number_of_tests_is_reported():
    assert count_mismatch(3, Report(passed=3)) is None
    assert count_mismatch(3, Report(passed=2)) == "2 tests were run, not 3"


def test_known_failures_are_read(tmp_path):
    assert read(tmp_path) == []
    (tmp_path / "KNOWN-RED.txt").write_text(f"{RED}\n")
    assert read(tmp_path) == [KnownRed("tests/a.py::t", "the clock is read twice", "issue 7")]


@pytest.mark.parametrize("text", [f"{RED}\n" * 4, "tests/a.py::t | cause", "tests/a.py::t | | 7", "\n"])
def test_too_many_known_failures_or_one_without_a_reason_are_rejected(text):
    with pytest.raises(KnownRedError):
        parse(text)


def test_a_known_failure_must_name_an_existing_test():
    check_collected(parse(RED), ["tests/a.py::t[2]"])
    with pytest.raises(KnownRedError):
        check_collected(parse(RED), ["tests/a.py::twice"])


WARD_FILE = """
from ward import each, test

@test("{one} is true")
def _(one=each(1, 0)):
    assert one

@test("passes")
def _():
    print("said")
"""


def run_ward(folder, **fields):
    """Run ward on WARD_FILE in `folder`; return the finished process and the outcomes."""
    (folder / "test_it.py").write_text(WARD_FILE)
    selection = Selection(str(folder / "results"), **fields)
    command = [sys.executable, "-m", "ward", "--path", "test_it.py", "--hook-module", "ward_shard"]
    path = str(run_tests.ROOT / "tests/ci")
    variables = run_tests.environment(WARD_SHARD=selection.encode(), PYTHONPATH=path)
    done = subprocess.run(command, cwd=folder, env=variables, capture_output=True, text=True)
    return done, read_outcomes(folder / "results")


def test_ward_reports_failures_and_skips_listed_tests(tmp_path):
    done, outcomes = run_ward(tmp_path)
    assert done.returncode and [outcome.outcome for outcome in outcomes] == ["PASS", "FAIL", "PASS"]
    assert [outcome.case_name for outcome in outcomes][1] == "test_it.py::{one} is true[1]"
    done, outcomes = run_ward(tmp_path, skip=("test_it.py::{one} is true",))
    assert not done.returncode and [outcome.name for outcome in outcomes] == ["test_it.py::passes"]
    done, outcomes = run_ward(tmp_path, only=("test_it.py::{one} is true",))
    assert done.returncode and len(outcomes) == 2


def test_pytest_skips_exactly_the_listed_tests(tmp_path):
    (tmp_path / "test_it.py").write_text("def test_a(): assert 0\n\n\ndef test_a_b(): pass\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "pytest_known_red", "test_it.py"]
    path = str(run_tests.ROOT / "tests/ci")
    variables = run_tests.environment(KNOWN_RED="test_it.py::test_a", PYTHONPATH=path)
    done = subprocess.run(command, cwd=tmp_path, env=variables, capture_output=True, text=True)
    assert not done.returncode and "1 passed" in done.stdout
