"""A chart of a trace: rates, outcomes and latencies by method, the step and the votes over time."""

from collections import defaultdict

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the kind of output must be chosen before

from honeywood.trace.rules.lives import OUTCOMES  # noqa: E402
from honeywood.trace.schema import ANSWER, NEWS, VOTE  # noqa: E402

PLACES = 240  # points along the time
VERDICTS = {1: ("on", "tab:green", "^"), 2: ("hold", "tab:orange", "s"), 3: ("back", "tab:red", "v")}
COLOURS = {"ok": "tab:green", "pushed back": "tab:orange", "aborted": "tab:red"}


def plot(reader, out, title):
    """Writes the chart of a Reader's file to `out`, a path or a file; its format by the path's ending."""
    entries = [entry for _, _, entry in reader.entries()]
    first, last = min(e.first for e in entries), max(e.last for e in entries)
    width = max(1, (last - first) / PLACES)
    answers = defaultdict(lambda: [0] * (PLACES + 1))
    spent = defaultdict(lambda: [[0, 0] for _ in range(PLACES + 1)])
    steps, votes = [], []
    for _, columns in reader.blocks():
        for record in columns.records({ANSWER.number, NEWS.number, VOTE.number}):
            place = int((record.time - first) / width)
            if record.kind == ANSWER.number:
                outcome = OUTCOMES.get(ANSWER.value(record.values, "outcome"), "other")
                answers[outcome][place] += 1
                if outcome == "ok":
                    sums = spent[ANSWER.value(record.values, "method")][place]
                    sums[0] += ANSWER.value(record.values, "latency")
                    sums[1] += 1
            elif record.kind == NEWS.number:
                step, cap = (NEWS.value(record.values, name) for name in ("step", "cap"))
                steps.append((record.time, step, cap))
            else:
                votes.append(
                    (record.time, VOTE.value(record.values, "step"), VOTE.value(record.values, "verdict"))
                )
    draw(out, title, first, width, answers, spent, sorted(steps), votes, last)


def draw(out, title, first, width, answers, spent, steps, votes, last):
    figure, (rates, times, release) = pyplot.subplots(
        3, 1, sharex=True, figsize=(10, 8), layout="constrained"
    )
    at = [place * width / 10_000 for place in range(PLACES + 1)]
    names = sorted(answers, key=list(OUTCOMES.values()).index)
    rates.stackplot(
        at,
        *([count / width * 10_000 for count in answers[name]] for name in names),
        labels=names,
        colors=[COLOURS[name] for name in names],
    )
    rates.set(ylabel="answers a second", title=title)
    rates.legend(loc="upper left")
    for method, sums in sorted(spent.items()):
        times.plot(at, [took / count / 10 if count else None for took, count in sums], label=method, lw=1)
    times.set(ylabel="mean of ok answers, ms", ylim=(0, None))
    times.legend(loc="upper left", ncols=3, fontsize="small")
    if steps:
        ends = [*steps, (last, *steps[-1][1:])]
        moments = [(time - first) / 10_000 for time, _, _ in ends]
        release.step(moments, [step for _, step, _ in ends], where="post", label="step")
        cap = release.twinx()
        cap.step(moments, [cap for _, _, cap in ends], where="post", color="tab:purple", ls=":", label="cap")
        cap.set(ylabel="cap", ylim=(0, 1.05))
    for verdict, (word, colour, mark) in VERDICTS.items():
        chosen = [((time - first) / 10_000, step) for time, step, cast in votes if cast == verdict]
        if chosen:
            release.scatter(*zip(*chosen), c=colour, marker=mark, label=f"vote {word}", zorder=3)
    release.set(xlabel="seconds", ylabel="step")
    release.legend(loc="upper left")
    figure.savefig(out, dpi=110)
    pyplot.close(figure)
