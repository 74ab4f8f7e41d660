"""Draws a trace over time: rates and outcomes, latencies by method, release steps and votes."""

from collections import defaultdict

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend must be chosen before

from honeywood.trace.rules.rpc_history import OUTCOME_TEXTS  # noqa: E402
from honeywood.trace.schema import ANSWER, RELEASE_UPDATE, VOTE  # noqa: E402

TIME_BINS = 240  # points along the time axis
VERDICTS = {1: ("on", "tab:green", "^"), 2: ("hold", "tab:orange", "s"), 3: ("back", "tab:red", "v")}
COLOURS = {"ok": "tab:green", "pushed back": "tab:orange", "aborted": "tab:red"}


def plot(reader, out, title):
    """Write the chart of a Reader's file to `out`, a path or a file; the path's suffix sets the format."""
    entries = [entry for _, _, entry in reader.entries()]
    first, last = min(e.first for e in entries), max(e.last for e in entries)
    width = max(1, (last - first) / TIME_BINS)
    answers = defaultdict(lambda: [0] * (TIME_BINS + 1))
    latencies = defaultdict(lambda: [[0, 0] for _ in range(TIME_BINS + 1)])
    steps, votes = [], []
    for _, columns in reader.blocks():
        for record in columns.records({ANSWER.number, RELEASE_UPDATE.number, VOTE.number}):
            time_bin = int((record.time - first) / width)
            if record.kind == ANSWER.number:
                outcome = OUTCOME_TEXTS.get(ANSWER.value(record.values, "outcome"), "other")
                answers[outcome][time_bin] += 1
                if outcome == "ok":
                    sums = latencies[ANSWER.value(record.values, "method")][time_bin]
                    sums[0] += ANSWER.value(record.values, "latency")
                    sums[1] += 1
            elif record.kind == RELEASE_UPDATE.number:
                step, cap = (RELEASE_UPDATE.value(record.values, name) for name in ("step", "cap"))
                steps.append((record.time, step, cap))
            else:
                votes.append(
                    (record.time, VOTE.value(record.values, "step"), VOTE.value(record.values, "verdict"))
                )
    draw(out, title, first, width, answers, latencies, sorted(steps), votes, last)


def draw(out, title, first, width, answers, latencies, steps, votes, last):
    figure, (rates, times, release) = pyplot.subplots(
        3, 1, sharex=True, figsize=(10, 8), layout="constrained"
    )
    seconds = [time_bin * width / 10_000 for time_bin in range(TIME_BINS + 1)]
    names = sorted(answers, key=list(OUTCOME_TEXTS.values()).index)
    rates.stackplot(
        seconds,
        *([count / width * 10_000 for count in answers[name]] for name in names),
        labels=names,
        colors=[COLOURS[name] for name in names],
    )
    rates.set(ylabel="answers a second", title=title)
    rates.legend(loc="upper left")
    for method, sums in sorted(latencies.items()):
        times.plot(
            seconds, [total / count / 10 if count else None for total, count in sums], label=method, lw=1
        )
    times.set(ylabel="mean of ok answers, ms", ylim=(0, None))
    times.legend(loc="upper left", ncols=3, fontsize="small")
    if steps:
        ends = [*steps, (last, *steps[-1][1:])]
        step_times = [(time - first) / 10_000 for time, _, _ in ends]
        release.step(step_times, [step for _, step, _ in ends], where="post", label="step")
        cap = release.twinx()
        cap.step(
            step_times, [cap for _, _, cap in ends], where="post", color="tab:purple", ls=":", label="cap"
        )
        cap.set(ylabel="cap", ylim=(0, 1.05))
    for verdict, (label, colour, marker) in VERDICTS.items():
        chosen = [((time - first) / 10_000, step) for time, step, vote in votes if vote == verdict]
        if chosen:
            release.scatter(*zip(*chosen), c=colour, marker=marker, label=f"vote {label}", zorder=3)
    release.set(xlabel="seconds", ylabel="step")
    release.legend(loc="upper left")
    figure.savefig(out, dpi=110)
    pyplot.close(figure)
