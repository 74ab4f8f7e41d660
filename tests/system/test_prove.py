"""The rules of register and rollouts in every order; the search sees each guard that is taken away."""

import random

from ward import each, test

from honeywood.lab.prove.explore import explore, walk
from honeywood.lab.prove.register import outcomes, versions
from honeywood.system.ledger import acceptor, round


@test("one writer, a lost disk and lost power: all states, whole, none breaks an invariant")
def _():
    found = explore(versions(1), 40)
    assert found.whole and not found.wrong and found.states > 5000


@test("two writers of {what.__name__}: all states up to eight steps, and long ways by chance")
def _(what=each(versions, outcomes)):
    found = explore(what(), 8)
    assert not found.wrong and found.states > 10_000
    draw = random.Random(1)
    for _ in range(300):
        _, wrong, trace = walk(what(again=1), draw, 60)
        assert not wrong, trace


def all_count(replies):
    return list(replies.values())


def forgetful(row, ballot, *value):
    if value:
        return [ballot, ballot, *value], {"ok": True}
    return [ballot, row[1], row[2]], {"ok": True, "accepted": row[1], "value": row[2]}


def empty(pulls):
    return {"key": [acceptor.NEVER, acceptor.NEVER, None]}


@test("without {guard} the search finds what is lost")
def _(
    guard=each("lives", "refused promises", "the rows of others", "syncs before answers"),
    place=each(round, acceptor, acceptor, None),
    name=each("current", "accept", "rebuilt", ""),
    without=each(all_count, forgetful, empty, None),
    model=each(versions, versions, versions, versions),
    writers=each(1, 2, 1, 1),
):
    # Mutations. `lives` was found by this search: a disk was lost after it had accepted, and rebuilt from one
    # that had not yet heard of the change; the writer took its old answer and the new one for a majority.
    guarded = getattr(place, name) if place else None
    if place:
        setattr(place, name, without)
    try:
        built = model(writers, early=place is None, wipes=int(writers == 1), powers=int(place is None))
        found = explore(built, 16, 150_000)
        draw, wrong = random.Random(1), found.wrong
        for _ in range(0 if wrong else 3000):
            wrong = wrong or walk(built, draw, 40)[1]
        assert wrong
    finally:
        if place:
            setattr(place, name, guarded)
