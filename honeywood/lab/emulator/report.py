"""What days came to, as tables and a chart."""

from collections import Counter
from dataclasses import replace

from honeywood.lab.emulator import day as days

SHOWN = 8  # breaches of a day that are shown at most


def table(head, rows):
    """Rows under a head, in columns, as text that is also a table in Markdown."""
    cells = [[str(cell) for cell in row] for row in (head, *rows)]
    wide = [max(len(row[at]) for row in cells) for at in range(len(head))]
    lines = ["| " + " | ".join(cell.ljust(size) for cell, size in zip(row, wide)) + " |" for row in cells]
    return "\n".join([lines[0], "| " + " | ".join("-" * size for size in wide) + " |", *lines[1:]])


def told(day, outcome):
    """A day's outcome in a few lines."""
    ends = ", ".join(f"{end}: {count}" for end, count in outcome.answers.most_common())
    faults = ", ".join(f"{fault.kind} at {fault.at_s:g} s" for fault in day.faults) or "none"
    lines = [f"  {breach}" for breach in outcome.breaches[:SHOWN]]
    broken = "\n".join(lines) or "  none"
    return (
        f"seed {day.seed}: worth {outcome.worth / max(1, outcome.owed):.3f} of {outcome.owed} requests\n"
        f"faults: {faults}\nanswers: {ends}\n"
        f"further arrivals {outcome.further}, connections reset {outcome.resets}\n"
        f"broken rules:\n{broken}"
    )


def bound(seeds, play, **shape):
    """Per kind of fault: worth, that of a router with sight of all machines, and the share reached; and
    the days with what came of them, that of the least worth first."""
    ours, best, owed, played = Counter(), Counter(), Counter(), []
    for seed in seeds:
        day = days.draw(seed, **shape)
        found, seen = play(day), play(replace(day, seeing=True))
        played.append((day, found))
        for kind in {fault.kind for fault in day.faults} | {"all"}:
            ours[kind] += found.worth / max(1, found.owed)
            best[kind] += seen.worth / max(1, seen.owed)
            owed[kind] += 1
    rows = [
        (
            kind,
            owed[kind],
            f"{ours[kind] / owed[kind]:.3f}",
            f"{best[kind] / owed[kind]:.3f}",
            f"{ours[kind] / best[kind]:.3f}",
        )
        for kind in sorted(owed, key=lambda kind: ours[kind] / best[kind])
    ]
    played.sort(key=lambda one: one[1].worth / max(1, one[1].owed))
    return table(("days with", "days", "ours", "sight of all", "share"), rows), played


def sweep(sizes, play, seeds, **shape):
    """How the system does with several numbers of fronts."""
    rows = []
    for fronts in sizes:
        found = [play(days.draw(seed, fronts=fronts, **shape)) for seed in seeds]
        owed = sum(one.owed for one in found)
        rows.append(
            (
                fronts,
                len(found),
                f"{sum(one.worth for one in found) / owed:.3f}",
                f"{sum(one.further for one in found) / owed:.3f}",
                sum(one.resets for one in found),
                sum(bool(one.breaches) for one in found),
            )
        )
    return table(("fronts", "days", "worth", "further arrivals a request", "resets", "broken days"), rows)


def chart(path, shown):
    """Worth a second of each of {name: (day, Outcome)}, with the day's faults."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, places = pyplot.subplots(len(shown), 1, figsize=(9, 2.2 * len(shown)), squeeze=False, sharex=True)
    for place, (name, (day, found)) in zip(places[:, 0], shown.items()):
        at = sorted(found.seconds)
        place.step(
            at, [found.seconds[one].worth / max(1, found.seconds[one].owed) for one in at], where="post"
        )
        for fault in day.faults:
            begun = days.CALM_S + fault.at_s
            place.axvspan(begun, begun + fault.for_s, alpha=0.15)
            place.text(begun, 0.05, fault.kind, rotation=90, fontsize=7)
        place.set(title=name, ylim=(0, 1.05), ylabel="worth of owed")
    places[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
