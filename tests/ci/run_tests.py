"""Runs all tests in parallel: pytest's by pytest-xdist, then ward's in shards, each a file or a part of one.

From the root of the repository: `python tests/ci/run_tests.py`. Prints every failing shard's output whole.
Its status is 1 where a test failed, a shard ended badly, or the tests run are not those collected. Tests of
KNOWN-RED.txt are run apart, printed with their result, and don't count.
"""

import os
import subprocess
import sys
import tempfile
import time
import xml.etree.ElementTree as ElementTree
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import known_red
import pytest_known_red
from shards import Outcome, Report, Shard, compare, plan, read_outcomes
from ward_shard import VARIABLE, Selection

ROOT = Path(__file__).resolve().parents[2]
WARD_TESTS = "tests/gateway"
# Many tests keep real time on loopback and start processes of their own: half the cores are left to those.
CORES_A_WORKER = 2
SHARD_TIMEOUT_S = 900.0  # far beyond the longest shard; a hung one must not take CI's 90 minutes


def workers() -> int:
    """How many test processes run at once."""
    return max(1, len(os.sched_getaffinity(0)) // CORES_A_WORKER)


def environment(**more: str) -> dict[str, str]:
    """What test processes are started with."""
    path = os.pathsep.join((".", WARD_TESTS, "tests/ci"))
    return {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": path, **more}


def run_module(*arguments: str, **more: str) -> subprocess.CompletedProcess[str]:
    """A Python module's run with its output kept."""
    command = [sys.executable, "-m", *arguments]
    try:
        return subprocess.run(
            command,
            cwd=ROOT,
            env=environment(**more),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=SHARD_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired as late:
        output = (late.stdout or b"").decode(errors="replace") + f"\nended after {SHARD_TIMEOUT_S:.0f} s\n"
        return subprocess.CompletedProcess(command, 1, output)


class PytestSuite:
    """The tests of the old program and the subsystems beside the gateway."""

    name = "pytest"

    def collect(self) -> list[str]:
        """The names of all tests; the program ends where they can't be collected."""
        done = run_module("pytest", "--collect-only", "-q")
        if done.returncode:
            sys.exit(done.stdout)
        return [line for line in done.stdout.splitlines() if "::" in line]

    def run(self, skip: list[str]) -> Report:
        """All but `skip`, with pytest's own output as it comes."""
        with tempfile.TemporaryDirectory() as folder:
            results = Path(folder, "results.xml")
            command = [sys.executable, "-m", "pytest", "-q", "--dist", "worksteal", "-n", str(workers())]
            command += [f"--junitxml={results}", "--durations=10", "-p", "pytest_known_red"]
            variables = environment(**{pytest_known_red.VARIABLE: "\n".join(skip)})
            status = subprocess.run(command, cwd=ROOT, env=variables).returncode
            return self.report(results, status)

    def report(self, results: Path, status: int) -> Report:
        """The counts in pytest's file of results; a status other than 0 is a failure in any case."""
        if not results.exists():
            return Report(bad_shards=1)
        counts = ElementTree.parse(results).getroot().find("testsuite").attrib
        failed = int(counts["failures"]) + int(counts["errors"])
        skipped = int(counts["skipped"])
        passed = int(counts["tests"]) - failed - skipped
        return Report(passed, failed, skipped, bad_shards=int(status != 0 and not failed))

    def run_alone(self, test: str) -> subprocess.CompletedProcess[str]:
        """One listed test with all its cases."""
        return run_module("pytest", "-q", test)


class WardSuite:
    """The gateway's tests."""

    name = "ward"

    def __init__(self):
        self.collected: list[Outcome] = []

    def collect(self) -> list[str]:
        """The names of all tests, case by case; the program ends where they can't be collected."""
        with tempfile.TemporaryDirectory() as folder:
            results = Path(folder, "collected.json")
            done = self.call(WARD_TESTS, Selection(str(results)), "--dry-run")
            if done.returncode:
                sys.exit(done.stdout)
            self.collected = read_outcomes(results)
        return [outcome.case_name for outcome in self.collected]

    def call(self, path: str, selection: Selection, *options: str) -> subprocess.CompletedProcess[str]:
        """One process of ward's."""
        arguments = ("ward", "--path", path, "--hook-module", "ward_shard", *options)
        return run_module(*arguments, **{VARIABLE: selection.encode()})

    def run(self, skip: list[str]) -> Report:
        """All but `skip`, in shards; the output of those that failed."""
        with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(workers()) as pool:
            shards = plan(self.collected)
            reports = list(pool.map(lambda shard: self.run_shard(shard, folder, skip), shards))
        for shard, report in zip(shards, reports):
            if not report.good:
                print(f"failed: {shard}: {report}; its output stands above")
        return sum(reports, Report())

    def run_shard(self, shard: Shard, folder: str, skip: list[str]) -> Report:
        """One shard; prints one line, or all that it said where it failed."""
        began = time.monotonic()
        name = shard.file.replace("/", "-")  # files of one name stand in several folders
        results = Path(folder, f"{name}-{shard.part}.json")
        selection = Selection(str(results), shard.part, shard.parts, tuple(skip))
        done = self.call(shard.file, selection)
        report = Report.of(read_outcomes(results), done.returncode)
        line = f"{shard}: {report} in {time.monotonic() - began:.1f} s"
        print(line if report.good else f"{done.stdout}\nFAILED {line}", flush=True)
        return report

    def run_alone(self, test: str) -> subprocess.CompletedProcess[str]:
        """One listed test with all its cases."""
        with tempfile.TemporaryDirectory() as folder:
            selection = Selection(str(Path(folder, "results.json")), only=(test,))
            return self.call(test.partition("::")[0], selection)


def run_known_red(suite: PytestSuite | WardSuite, known: list[known_red.KnownRed]) -> None:
    """Runs the listed tests and prints each with its result."""
    for entry in known:
        done = suite.run_alone(entry.test)
        result = "fails, as listed" if done.returncode else f"PASSES NOW: take it out of {known_red.FILE}"
        print(f"{done.stdout}\nknown red: {entry.test}: {result} ({entry.cause}; {entry.issue})", flush=True)


def run_suite(suite: PytestSuite | WardSuite, listed: list[known_red.KnownRed]) -> bool:
    """One suite and its line of counts; whether all is well."""
    began = time.monotonic()
    collected = suite.collect()
    known = [entry for entry in listed if entry.test.startswith(WARD_TESTS) == (suite.name == "ward")]
    known_red.check_collected(known, collected)
    passed_over = [name for name in collected if any(entry.covers(name) for entry in known)]
    report = suite.run([entry.test for entry in known])
    run_known_red(suite, known)
    problem = compare(len(collected) - len(passed_over), report)
    took = time.monotonic() - began
    counts = f"{len(collected)} collected, {report.total} run, {len(passed_over)} known red"
    print(f"{suite.name}: {counts}, in {took:.0f} s", *([problem] if problem else []), sep="\n")
    print(f"{suite.name}: {report}", flush=True)
    return report.good and not problem


def main() -> int:
    """Runs both suites, the second also where the first failed; the status to end with."""
    try:
        listed = known_red.read(ROOT)
        results = [run_suite(suite, listed) for suite in (PytestSuite(), WardSuite())]
    except known_red.KnownRedError as wrong:
        print(wrong)
        return 1
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
