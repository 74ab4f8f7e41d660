"""A synthetic hour of traffic, to try the tools at size and to time them. It is drawn, not played: its RPCs
pass no front, so it shows nothing of the decisions, and `replay` refuses it."""

from itertools import repeat
from operator import itemgetter

import numpy

from honeywood.balancer.model import SECOND, AttemptResult, ReleaseState
from honeywood.trace.rules.write_schedule import MAX_BLOCK_RECORDS
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    LIST,
    LOOK,
    NEWS,
    PICK,
    PUSHED_BACK,
    RESULT,
    TAKEN,
    TALLY,
)

HOUR = 3600 * SECOND
START = 17_964_288_000_000  # tenths of a ms since 1970: 2026-12-05, a Saturday before Christmas
METHODS = "bin-lookup", "bag-assign", "route-plan", "label-print", "scan-in", "belt-state"
WEIGHTS = 0.35, 0.2, 0.15, 0.1, 0.15, 0.05
CUSTOMERS, SERVERS, CHUNK = 9, 40, 20_000
AN_RPC = 4.05  # records that an RPC brings on average, with looks and tallies
SECOND_PICKS, FAILED, PUSHED = 0.02, 0.004, 0.01


def about(seed):
    return {"front": f"sample{seed}", "run": f"sample-{seed}", "sample": True}


def blocks(records, seed):
    """Lists of records, each MAX_BLOCK_RECORDS long but the last; `records` in all."""
    chance = numpy.random.default_rng(seed)
    rpcs = max(1, int(records / AN_RPC))
    waiting, done, first, given = [*opening()], 0, 1, 0
    while given < records:
        count = min(CHUNK, max(1000, rpcs - done))
        since, until = START + HOUR * done // rpcs, START + HOUR * (done + count) // rpcs
        waiting += chunk(chance, count, first, since, until)
        done, first = done + count, first + count
        waiting.sort(key=itemgetter(0))
        # What is later than the next chunk's first may still be overtaken.
        ripe = next((at for at, record in enumerate(waiting) if record[0] >= until), len(waiting))
        at = 0
        while (ripe - at >= MAX_BLOCK_RECORDS or given + ripe - at >= records) and given < records:
            block = waiting[at : at + min(MAX_BLOCK_RECORDS, records - given)]
            yield block
            given += len(block)
            at += len(block)
        del waiting[:at]


def opening():
    names = tuple(f"s{n:03d}" for n in range(SERVERS))
    yield START, 0, NEWS.number, (7, 0, 0.1, ReleaseState.ON_TRIAL, 0, 1, 0)
    none = (0,) * SERVERS
    yield (
        START,
        0,
        LIST.number,
        (
            1,
            1,
            names,
            (6,) * 36 + (7,) * 4,
            (2,) * SERVERS,
            (START - HOUR,) * SERVERS,
            none,
            none,
            (1.0,) * SERVERS,
        ),
    )


def chunk(chance, count, first, since, until):
    """Records of so many RPCs, taken between two times."""
    taken = numpy.sort(chance.integers(since, until, count))
    latency = (chance.gamma(2.0, 110.0, count) + 20).astype(int)
    method = chance.choice(len(METHODS), count, p=WEIGHTS)
    server = chance.integers(0, SERVERS, count)
    fate = chance.random(count)
    outcome = numpy.where(fate < FAILED, ABORTED, ANSWERED_OK)
    outcome[(fate >= FAILED) & (fate < FAILED + PUSHED)] = PUSHED_BACK
    ids = chance.integers(0, 1 << 62, count).tolist()
    parcels = chance.integers(0, 10**10, count).tolist()
    customers = numpy.minimum(CUSTOMERS - 1, chance.geometric(0.3, count) - 1).tolist()
    other = chance.integers(0, SERVERS, count).tolist()
    again = (chance.random(count) < SECOND_PICKS).tolist()
    rows = zip(
        range(first, first + count),
        taken.tolist(),
        latency.tolist(),
        method.tolist(),
        server.tolist(),
        outcome.tolist(),
        ids,
        parcels,
        customers,
        other,
        again,
    )
    names = [f"s{n:03d}" for n in range(SERVERS)]
    carriers = [f"carrier-{n}" for n in range(CUSTOMERS)]
    found = []
    add = found.append
    for rpc, at, took, place, chosen, end, name, parcel, customer, drawn, twice in rows:
        what, one, two = METHODS[place], names[chosen], names[drawn]
        add(
            (
                at,
                0,
                TAKEN.number,
                (rpc, f"{name:016x}", what, carriers[customer], f"{parcel:010d}", "", 0, 40_000, 0, 0),
            )
        )
        if end == PUSHED_BACK:
            add((at, 0, ANSWER.number, (rpc, what, end, 2, 2500, 0, (), ())))
            continue
        build = 7 if chosen >= 36 else 6
        add((at, 0, PICK.number, (rpc, 0, one, build, what, 40_000, (one, two), (0, 0), 0)))
        if twice and place != 1:
            add((at + took, 0, RESULT.number, (rpc, 0, one, build, what, 2, took, 0, ())))
            add(
                (
                    at + took,
                    0,
                    PICK.number,
                    (rpc, 1, two, 7 if drawn >= 36 else 6, what, 40_000 - took, (two, one), (0, 13), 0),
                )
            )
            one, build, number = two, 7 if drawn >= 36 else 6, 1
        else:
            number = 0
        at += took * (number + 1)
        add(
            (
                at,
                0,
                RESULT.number,
                (rpc, number, one, build, what, AttemptResult.ERROR if end else 1, took, 1, (2.0,)),
            )
        )
        add((at, 0, ANSWER.number, (rpc, what, end, 4 if end else 0, 0, took * (number + 1), (), ())))
    looks = range(since, until, SECOND // 10)
    found += zip(looks, repeat(0), repeat(LOOK.number), repeat(()))
    for at in range(since - since % (2 * SECOND) + 2 * SECOND, until, 2 * SECOND):
        found += [
            (at, 0, TALLY.number, (6, what, 1, 200 + place, 260, 15_000))
            for place, what in enumerate(METHODS)
        ]
    if since // (600 * SECOND) != until // (600 * SECOND):
        step = (until - START) // (600 * SECOND)
        found.append(
            (
                until - 1,
                0,
                NEWS.number,
                (
                    7,
                    step,
                    min(1.0, 0.1 + 0.2 * step),
                    ReleaseState.ON_TRIAL if step < 5 else ReleaseState.RELEASED,
                    0,
                    1,
                    0,
                ),
            )
        )
    return found


def write(writer, records, seed, progress):
    for block in blocks(records, seed):
        writer.block(block)
        progress(len(block))
    writer.close()
