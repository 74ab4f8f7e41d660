"""Days of our own for the bench, as text: what is drawn can be read, and fits its day."""

import sys
import tomllib
from pathlib import Path

from ward import test

BENCH = Path(__file__).parents[2] / "benchmarks"
sys.path.append(str(BENCH))
import days  # noqa: E402


def fits(day):
    spans = [(entry["at"], entry.get("for_s", 0)) for entry in day["plan"] + day["faults"]]
    return all(0 <= at and at + lasts <= day["length_s"] for at, lasts in spans)


@test("a day drawn by a seed is the same each time, and its troubles are over before it ends")
def _():
    for seed in range(200):
        text = days.mix(seed)
        (day,) = tomllib.loads(text)["day"]
        assert text == days.mix(seed) and fits(day), f"seed {seed}"
        core = [entry for entry in day["faults"] if entry.get("on") == "core" or "core" in entry["kind"]]
        assert day["faults"] and day["plan"] and len(core) <= 20, f"seed {seed}"


@test("a day of many changes holds them all, and core machines come back in their midst")
def _():
    (day,) = tomllib.loads(days.changes(300))["day"]
    assert fits(day) and sum(entry["kind"] == "config_change" for entry in day["plan"]) == 301
    last = max(entry["at"] for entry in day["plan"][:-1])
    assert sum(entry["at"] + entry.get("for_s", 0) < last for entry in day["faults"]) >= 2


@test("days written by hand can be read, and end after their troubles")
def _():
    for file in sorted((BENCH / "days").glob("*.toml")):
        read = tomllib.loads(file.read_text())
        (day,) = read.get("day", [read])  # the bench takes a day's fields by themselves, too
        assert {"seed", "plan", "faults"} <= set(day) and fits({"length_s": 30.0, **day}), file.name
