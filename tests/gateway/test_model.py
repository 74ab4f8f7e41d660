"""The rules of register and rollouts in every order; the search sees each guard that is taken away."""

import random

from ward import each, test

from honeywood.gateway.register import acceptor, membership_rules, proposal
from honeywood.gateway.register.row import EMPTY_ROW, Row
from honeywood.lab.model import ballots
from honeywood.lab.model.explore import explore, follow, walk
from honeywood.lab.model.register import FIVE, REPLACED, THREE, outcomes, versions


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
    return dict(replies)


def forgetful(row, ballot, value):
    return Row(ballot, ballot, value)


def empty(pulls):
    return {"key": EMPTY_ROW}


@test("without {guard} the search finds what is lost")
def _(
    guard=each("lives", "refused promises", "the rows of others", "syncs before answers"),
    place=each(proposal, acceptor, acceptor, None),
    name=each("current_replies", "accept", "merge_rows", ""),
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


# reads: writer 1's ballot is promised at 1 and 2, where nobody knew of what 0 accepted


DOUBT = (
    "prepare of 0 at 0; answer of 0 to 0; prepare of 0 at 1; answer of 1 to 0; accept of 0 at 0; "
    "prepare of 1 at 1; answer of 1 to 1; prepare of 1 at 2; answer of 2 to 1; "
)
COPIED = DOUBT + "disk 1 is lost"
SHOWN_BEFORE = DOUBT + "accept of 1 at 0; 0 tells the reader; disk 0 is lost"


def always_sure(row):
    return True


def read_once(way):
    built = versions(2, wipes=1, powers=0, reads=1)
    built.changes.reverse()  # the higher ballot has the lower version
    built.start = follow(built, way.split("; "))
    return explore(built, 40, 30_000)


@test("a read {beside}: all states from there, none breaks; without {guard} the search finds what breaks")
def _(
    beside=each("of a copied row", "of a disk that is lost before the read ends"),
    guard=each("sure", "lives"),
    place=each(acceptor, ballots),
    name=each("counts_as_accepted", "current_replies"),
    without=each(always_sure, all_count),
    way=each(COPIED, SHOWN_BEFORE),
    least=each(18_000, 29_000),
):
    # Mutations. `sure`, found by review: the copy on a rebuilt disk counted as accepted there, a read told
    # its value, and a ballot promised before put another in its place. All 18,780 states from there hold;
    # without `sure` it breaks 7 steps on (4074 states). The model's own start, ten steps before, is too wide
    # for a test. `lives`, seen by this search: what a disk told the reader before it was lost, beside what
    # another accepted once it had told the lost one its rows (29,158 states hold; without, 6 steps, 3117).
    real = read_once(way)
    assert real.whole and not real.wrong and real.states > least, real
    guarded = getattr(place, name)
    setattr(place, name, without)
    try:
        assert read_once(way).wrong
    finally:
        setattr(place, name, guarded)


@test("two writers that begin again, two reads and {name}: long ways by chance")
def _(name=each("three members", "a replacement"), chain=each(THREE, REPLACED), ways=each(200, 100)):
    built, draw = versions(2, again=1, chain=chain, reads=2), random.Random(1)
    built.changes.reverse()
    for _ in range(ways):
        _, wrong, trace = walk(built, draw, 100)
        assert not wrong, trace


# members: disk 2 makes room for disk 3


def told(**more):
    """A value that was told before, on a majority that the leaving disk belongs to."""
    return versions(0, first=1, on=(0, 2), chain=REPLACED, **more)


@test("a member is replaced, {wipes} disks lost, {powers} times power: all states, none loses what was told")
def _(wipes=each(0, 1), powers=each(1, 0), least=each(5000, 10_000)):
    found = explore(told(wipes=wipes, powers=powers), 40, 10_000)
    assert not found.wrong and found.states >= least, found
    assert found.whole or wipes  # the search with a lost disk is whole in docs/design/control.md


@test("two writers and a reader while a member of {many} is replaced: five steps, and long ways by chance")
def _(many=each(3, 5), chain=each(REPLACED, FIVE), ways=each(150, 60)):
    built = versions(2, reader=True, again=1, chain=chain)
    assert not explore(built, 5, 8000).wrong
    draw = random.Random(1)
    for _ in range(ways):
        _, wrong, trace = walk(built, draw, 100)
        assert not wrong, trace


def steps(text):
    return [label.strip() for label in text.split(";")]


PREPARED = "prepare of 0 at 0; answer of 0 to 0; prepare of 0 at 1; answer of 1 to 0; "
AGREED = "(0, 1) agree on the next members; "
MOVED = AGREED + "; ".join(f"0 tells {one} all; 1 tells {one} all; {one} moves on" for one in (0, 3))
ACCEPTED = "".join(
    f"; {step} of 0 at {one}; answer of {one} to 0" for step in ("prepare", "accept") for one in (0, 3)
)
BESIDE = (
    "1 begins again; prepare of 1 at 0; answer of 0 to 1; prepare of 1 at 2; answer of 2 to 1; "
    + "accept of 1 at 2; "
    + AGREED
    + "; ".join(f"0 tells {one} all; 1 tells {one} all; {one} moves on" for one in (1, 3))
    + "; 0 begins again; prepare of 0 at 1; answer of 1 to 0; prepare of 0 at 3; answer of 3 to 0"
)


def any_epoch(here, ip, epoch):
    return ip in here.members


def new_ones(here, pulls):
    return [pull for ip, pull in pulls.items() if ip != 2] if len(pulls) > 1 else []


def unpromised(pulls):
    return {key: row._replace(promised=row.accepted) for key, row in guarded_merge_rows(pulls).items()}


def any_time(ip, pulls, lost):
    return guarded_joins(ip, pulls, False)


guarded_merge_rows, guarded_joins = acceptor.merge_rows, membership_rules.join_quorum
WRITER = {"count": 1, "again": 1, "chain": REPLACED}
WRITERS = {**WRITER, "count": 2}


@test("without {guard} a member's replacement loses what was told; with it, it doesn't")
def _(
    guard=each(
        "epochs in steps",
        "a majority of the old members",
        "rows before it counts",
        "promises taken along",
        "a lost disk's wait for an epoch that may be over",
    ),
    place=each(membership_rules, membership_rules, acceptor, acceptor, membership_rules),
    name=each("accepts_epoch", "transition_quorum", "merge_rows", "merge_rows", "join_quorum"),
    without=each(any_epoch, new_ones, lambda pulls: {}, unpromised, any_time),
    model=each(versions, told, told, versions, versions),
    more=each(WRITER, {}, {}, WRITERS, WRITER),
    wipes=each(0, 0, 0, 0, 1),
    way=each(PREPARED + MOVED, "", "", BESIDE, MOVED + "; 0 begins again" + ACCEPTED),
):
    # Mutations, the last one found by thought: a disk that had been in the new epoch was lost, and came back
    # with the rows of the old one from two that had not moved yet; with these it entered the new one again.
    def looked():
        built = model(wipes=wipes, powers=0, **more)
        built.changes.reverse()  # of two the higher ballot has the lower version
        built.start = follow(built, steps(way)) if way else built.start
        return explore(built, 14, 20_000)

    guarded = getattr(place, name)
    assert not looked().wrong
    setattr(place, name, without)
    try:
        assert looked().wrong
    finally:
        setattr(place, name, guarded)
