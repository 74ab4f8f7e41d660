"""The soak: real processes under troubles that overlap, in a short form; its rules, each seen to break."""

import os

from ward import each, test

from honeywood.lab.soak import rules, run, troubles
from honeywood.lab.soak.rules import Record, Run, Try
from honeywood.lab.soak.series import SLOTS


@test("a short soak of seed {seed} breaks no rule")
def _(seed=each(2)):
    slot = 1 + os.getpid() % SLOTS  # soaks of other processes get other addresses
    outcome = run.play(seed, 6.0, slot)
    assert not outcome.breaches, outcome.breaches
    assert outcome.tries > 200 and outcome.served > 150 and outcome.left


@test("troubles overlap: at least two last at one moment, of every kind over a few seeds")
def _():
    kinds = set()
    for seed in range(1, 9):
        drawn = troubles.draw(seed, 12.0)
        kinds |= {trouble.kind for trouble in drawn}
        assert any(
            one.at_s < other.at_s < one.at_s + one.for_s
            for one in drawn
            for other in drawn
            if one is not other
        )
        assert drawn == troubles.draw(seed, 12.0)
    assert kinds == set(troubles.TroubleKind)


def good_record():
    """A served request, one whose client left, and one that may not be repeated."""
    record = Record(acknowledged=3, read_back=3, open_at_end={"p": 0.0})
    record.owners["k"].add("t")
    record.tries = {
        b"a": Try(b"a", True, "p", "k", 1.0, None, 200, b"a"),
        b"b": Try(b"b", True, "p", "k", 2.0, left_at=2.1),
        b"c": Try(b"c", False, "p", "k", 3.0, None, 200, b"c"),
    }
    record.runs = [Run(b"a", "t", False, 1.0, 1.1), Run(b"b", "t", False, 2.0, 2.2)]
    record.runs += [Run(b"c", "t", False, 3.0, 3.1)]
    return record


def seen(change):
    record = good_record()
    change(record)
    return {breach.rule for breach in rules.breaches(record)}


@test("a record without a fault breaks nothing; {rule} is broken by one")
def _(
    rule=each(
        *("gone", "gone", "once", "promise", "own", "tenant"),
        *("key", "key", "kept", "quiet", "told", "served"),
    ),
    change=each(
        lambda record: setattr(record.runs[1], "ended_at", 2.7),
        lambda record: setattr(record.runs[1], "ended_at", None),
        lambda record: record.runs.append(Run(b"c", "t", False, 3.0, 3.1)),
        lambda record: setattr(record.tries[b"c"], "status", 503),
        lambda record: setattr(record.tries[b"a"], "body", b"c"),
        lambda record: setattr(record.runs[0], "tenant", "other"),
        lambda record: setattr(record.runs[0], "showed_key", True),
        lambda record: record.owners.clear(),
        lambda record: setattr(record, "read_back", 2),
        lambda record: record.open_at_end.update(p=1.0),
        lambda record: record.complaints.append("a line"),
        lambda record: [setattr(one, "status", 503) for one in record.tries.values()],
    ),
):
    assert not seen(lambda record: None)
    assert rule in seen(change)


@test("work after a leaving breaks nothing where its proxy was disturbed, or the observer late")
def _():
    def late(record):
        record.runs[1].ended_at = 2.7

    def disturbed(record):
        late(record)
        record.disturbed["p"].append((2.9, 3.5))

    def observer_late(record):
        late(record)
        record.observer_lag_s = 0.2

    assert seen(late) == {"gone"} and not seen(disturbed) and not seen(observer_late)
