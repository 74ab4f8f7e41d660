"""Runs all tests in parallel: first pytest's with pytest-xdist, then ward's in shards.

A shard is a file of tests or a part of one. Run it from the root of the repository:

    python tests/ci/run_tests.py

It prints the whole output of every failed shard. The exit status is 1 if a test or a shard failed, or if the
number of tests run differs from the number collected. The tests in KNOWN-RED.txt are run separately and
printed with their result, which doesn't affect the exit status.
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
from shards import Outcome, Report, Shard, count_mismatch, plan, read_outcomes
from ward_shard import VARIABLE, Selection

ROOT = Path(__file__).resolve().parents[2]
WARD_TESTS = "tests/gateway"
# Many tests depend on real time and start further processes: half of the cores are left for these.
CORES_PER_WORKER = 2
SHARD_TIMEOUT_S = 900.0  # much longer than the longest shard; a hung one must not use up CI's 90 minutes


def workers() -> int:
    """Return the number of test processes that run at once."""
    return max(1, len(os.sched_getaffinity(0)) // CORES_PER_WORKER)


def environment(**more: str) -> dict[str, str]:
    """Return the environment variables of the test processes."""
    path = os.pathsep.join((".", WARD_TESTS, "tests/ci"))
    return {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": path, **more}


def run_module(*arguments: str, **more: str) -> subprocess.CompletedProcess[str]:
    """Run a Python module to its end and capture its output."""
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
    except subprocess.TimeoutExpired as error:
        output = (error.stdout or b"").decode(errors="replace") + f"\nstopped after {SHARD_TIMEOUT_S:.0f} s\n"
        return subprocess.CompletedProcess(command, 1, output)


class PytestSuite:
    """The tests of the balancer and of the other subsystems outside the gateway."""

    name = "pytest"

    def collect(self) -> list[str]:
        """Return the names of all tests; exit if they can't be collected."""
        done = run_module("pytest", "--collect-only", "-q")
        if done.returncode:
            sys.exit(done.stdout)
        return [line for line in done.stdout.splitlines() if "::" in line]

    def run(self, skip: list[str]) -> Report:
        """Run all tests except `skip`; pytest prints its output directly."""
        with tempfile.TemporaryDirectory() as folder:
            results = Path(folder, "results.xml")
            command = [sys.executable, "-m", "pytest", "-q", "--dist", "worksteal", "-n", str(workers())]
            command += [f"--junitxml={results}", "--durations=10", "-p", "pytest_known_red"]
            variables = environment(**{pytest_known_red.VARIABLE: "\n".join(skip)})
            status = subprocess.run(command, cwd=ROOT, env=variables).returncode
            return self.report(results, status)

    def report(self, results: Path, status: int) -> Report:
        """Return the counts in pytest's results file; an exit status other than 0 is always a failure."""
        if not results.exists():
            return Report(aborted_shards=1)
        counts = ElementTree.parse(results).getroot().find("testsuite").attrib
        failed = int(counts["failures"]) + int(counts["errors"])
        skipped = int(counts["skipped"])
        passed = int(counts["tests"]) - failed - skipped
        return Report(passed, failed, skipped, aborted_shards=int(status != 0 and not failed))

    def run_alone(self, test: str) -> subprocess.CompletedProcess[str]:
        """Run one listed test with all its cases."""
        return run_module("pytest", "-q", test)


class WardSuite:
    """The gateway's tests."""

    name = "ward"

    def __init__(self):
        self.collected: list[Outcome] = []

    def collect(self) -> list[str]:
        """Return the names of all cases of all tests; exit if they can't be collected."""
        with tempfile.TemporaryDirectory() as folder:
            results = Path(folder, "collected.json")
            done = self.run_ward(WARD_TESTS, Selection(str(results)), "--dry-run")
            if done.returncode:
                sys.exit(done.stdout)
            self.collected = read_outcomes(results)
        return [outcome.case_name for outcome in self.collected]

    def run_ward(self, path: str, selection: Selection, *options: str) -> subprocess.CompletedProcess[str]:
        """Run one ward process."""
        arguments = ("ward", "--path", path, "--hook-module", "ward_shard", *options)
        return run_module(*arguments, **{VARIABLE: selection.encode()})

    def run(self, skip: list[str]) -> Report:
        """Run all tests except `skip` in shards; print the output of the failed shards."""
        with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(workers()) as pool:
            shards = plan(self.collected)
            reports = list(pool.map(lambda shard: self.run_shard(shard, folder, skip), shards))
        for shard, report in zip(shards, reports):
            if not report.succeeded:
                print(f"failed: {shard}: {report}; its output is above")
        return sum(reports, Report())

    def run_shard(self, shard: Shard, folder: str, skip: list[str]) -> Report:
        """Run one shard and print one line; if it failed, also its whole output."""
        began = time.monotonic()
        name = shard.file.replace("/", "-")  # several folders have files of the same name
        results = Path(folder, f"{name}-{shard.part}.json")
        selection = Selection(str(results), shard.part, shard.parts, tuple(skip))
        done = self.run_ward(shard.file, selection)
        report = Report.of(read_outcomes(results), done.returncode)
        line = f"{shard}: {report} in {time.monotonic() - began:.1f} s"
        print(line if report.succeeded else f"{done.stdout}\nFAILED {line}", flush=True)
        return report

    def run_alone(self, test: str) -> subprocess.CompletedProcess[str]:
        """Run one listed test with all its cases."""
        with tempfile.TemporaryDirectory() as folder:
            selection = Selection(str(Path(folder, "results.json")), only=(test,))
            return self.run_ward(test.partition("::")[0], selection)


def run_known_red(suite: PytestSuite | WardSuite, known: list[known_red.KnownRed]) -> None:
    """Run the listed tests and print each with its result."""
    for entry in known:
        done = suite.run_alone(entry.test)
        result = "fails, as listed" if done.returncode else f"PASSES NOW: remove it from {known_red.FILE}"
        print(f"{done.stdout}\nknown red: {entry.test}: {result} ({entry.cause}; {entry.issue})", flush=True)


def run_suite(suite: PytestSuite | WardSuite, listed: list[known_red.KnownRed]) -> bool:
    """Run one suite and print its counts; return whether it succeeded."""
    began = time.monotonic()
    collected = suite.collect()
    known = [entry for entry in listed if entry.test.startswith(WARD_TESTS) == (suite.name == "ward")]
    known_red.check_collected(known, collected)
    skipped = [name for name in collected if any(entry.covers(name) for entry in known)]
    report = suite.run([entry.test for entry in known])
    run_known_red(suite, known)
    problem = count_mismatch(len(collected) - len(skipped), report)
    duration_s = time.monotonic() - began
    counts = f"{len(collected)} collected, {report.total} run, {len(skipped)} known red"
    print(f"{suite.name}: {counts}, in {duration_s:.0f} s", *([problem] if problem else []), sep="\n")
    print(f"{suite.name}: {report}", flush=True)
    return report.succeeded and not problem


def main() -> int:
    """Run both suites, the second one even if the first fails; return the exit status."""
    try:
        listed = known_red.read(ROOT)
        results = [run_suite(suite, listed) for suite in (PytestSuite(), WardSuite())]
    except known_red.KnownRedError as error:
        print(error)
        return 1
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
