"""Generates a synthetic hour of traffic of any size, to test and time the tools.

The records are random: they pass through no balancer, so they show nothing of its decisions, and `replay`
refuses them.
"""

from itertools import repeat
from operator import itemgetter

import numpy

from honeywood.balancer.model import SECOND, AttemptResult, ReleaseState
from honeywood.trace.rules.write_schedule import MAX_BLOCK_RECORDS
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    ARRIVAL,
    ATTEMPT,
    PLATFORM_COUNTS,
    REJECTED,
    RELEASE_UPDATE,
    RESULT,
    SERVER_LIST,
    TIMER,
)

HOUR = 3600 * SECOND
START = 17_964_288_000_000  # tenths of a ms since 1970: 2026-12-05, a Saturday before Christmas
METHODS = "bin-lookup", "bag-assign", "route-plan", "label-print", "scan-in", "belt-state"
WEIGHTS = 0.35, 0.2, 0.15, 0.1, 0.15, 0.05
CUSTOMERS, SERVERS, CHUNK_RPCS = 9, 40, 20_000
RECORDS_PER_RPC = 4.05  # on average, with the records of timers and platform counts
RETRY_SHARE, FAILED_SHARE, REJECTED_SHARE = 0.02, 0.004, 0.01


def metadata(seed):
    """Return the header's map of a sample."""
    return {"front": f"sample{seed}", "run": f"sample-{seed}", "sample": True}


def blocks(records, seed):
    """Yield lists of MAX_BLOCK_RECORDS records, the last one shorter; `records` in total."""
    generator = numpy.random.default_rng(seed)
    rpcs = max(1, int(records / RECORDS_PER_RPC))
    pending, done, first, yielded = [*opening()], 0, 1, 0
    while yielded < records:
        count = min(CHUNK_RPCS, max(1000, rpcs - done))
        since, until = START + HOUR * done // rpcs, START + HOUR * (done + count) // rpcs
        pending += generate_chunk(generator, count, first, since, until)
        done, first = done + count, first + count
        pending.sort(key=itemgetter(0))
        # Later records than the start of the next chunk may still be preceded by records of that chunk.
        ready = next((at for at, record in enumerate(pending) if record[0] >= until), len(pending))
        at = 0
        while (ready - at >= MAX_BLOCK_RECORDS or yielded + ready - at >= records) and yielded < records:
            block = pending[at : at + min(MAX_BLOCK_RECORDS, records - yielded)]
            yield block
            yielded += len(block)
            at += len(block)
        del pending[:at]


def opening():
    """Yield the first records: the state of the release and the server list."""
    names = tuple(f"s{n:03d}" for n in range(SERVERS))
    yield START, 0, RELEASE_UPDATE.number, (7, 0, 0.1, ReleaseState.ON_TRIAL, 0, 1, 0)
    none = (0,) * SERVERS
    yield (
        START,
        0,
        SERVER_LIST.number,
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


def generate_chunk(generator, count, first, since, until):
    """Return the records of `count` RPCs that arrive from `since` to before `until`."""
    arrivals = numpy.sort(generator.integers(since, until, count))
    latency = (generator.gamma(2.0, 110.0, count) + 20).astype(int)
    method = generator.choice(len(METHODS), count, p=WEIGHTS)
    server = generator.integers(0, SERVERS, count)
    draw = generator.random(count)
    outcome = numpy.where(draw < FAILED_SHARE, ABORTED, ANSWERED_OK)
    outcome[(draw >= FAILED_SHARE) & (draw < FAILED_SHARE + REJECTED_SHARE)] = REJECTED
    ids = generator.integers(0, 1 << 62, count).tolist()
    parcels = generator.integers(0, 10**10, count).tolist()
    customers = numpy.minimum(CUSTOMERS - 1, generator.geometric(0.3, count) - 1).tolist()
    other = generator.integers(0, SERVERS, count).tolist()
    retried = (generator.random(count) < RETRY_SHARE).tolist()
    rows = zip(
        range(first, first + count),
        arrivals.tolist(),
        latency.tolist(),
        method.tolist(),
        server.tolist(),
        outcome.tolist(),
        ids,
        parcels,
        customers,
        other,
        retried,
    )
    names = [f"s{n:03d}" for n in range(SERVERS)]
    carriers = [f"carrier-{n}" for n in range(CUSTOMERS)]
    records_of_chunk = []
    add = records_of_chunk.append
    for (
        rpc,
        at,
        duration,
        method_index,
        server_index,
        result,
        id_number,
        parcel,
        customer,
        other_index,
        is_retried,
    ) in rows:
        method_name, server_name, other_name = METHODS[method_index], names[server_index], names[other_index]
        add(
            (
                at,
                0,
                ARRIVAL.number,
                (
                    rpc,
                    f"{id_number:016x}",
                    method_name,
                    carriers[customer],
                    f"{parcel:010d}",
                    "",
                    0,
                    40_000,
                    0,
                    0,
                ),
            )
        )
        if result == REJECTED:
            add((at, 0, ANSWER.number, (rpc, method_name, result, 2, 2500, 0, (), ())))
            continue
        build = 7 if server_index >= 36 else 6
        add(
            (
                at,
                0,
                ATTEMPT.number,
                (rpc, 0, server_name, build, method_name, 40_000, (server_name, other_name), (0, 0), 0),
            )
        )
        if is_retried and method_index != 1:
            add(
                (
                    at + duration,
                    0,
                    RESULT.number,
                    (rpc, 0, server_name, build, method_name, 2, duration, 0, ()),
                )
            )
            add(
                (
                    at + duration,
                    0,
                    ATTEMPT.number,
                    (
                        rpc,
                        1,
                        other_name,
                        7 if other_index >= 36 else 6,
                        method_name,
                        40_000 - duration,
                        (other_name, server_name),
                        (0, 13),
                        0,
                    ),
                )
            )
            server_name, build, number = other_name, 7 if other_index >= 36 else 6, 1
        else:
            number = 0
        at += duration * (number + 1)
        add(
            (
                at,
                0,
                RESULT.number,
                (
                    rpc,
                    number,
                    server_name,
                    build,
                    method_name,
                    AttemptResult.ERROR if result else 1,
                    duration,
                    1,
                    (2.0,),
                ),
            )
        )
        add(
            (
                at,
                0,
                ANSWER.number,
                (rpc, method_name, result, 4 if result else 0, 0, duration * (number + 1), (), ()),
            )
        )
    timers = range(since, until, SECOND // 10)
    records_of_chunk += zip(timers, repeat(0), repeat(TIMER.number), repeat(()))
    for at in range(since - since % (2 * SECOND) + 2 * SECOND, until, 2 * SECOND):
        records_of_chunk += [
            (at, 0, PLATFORM_COUNTS.number, (6, method_name, 1, 200 + method_index, 260, 15_000))
            for method_index, method_name in enumerate(METHODS)
        ]
    if since // (600 * SECOND) != until // (600 * SECOND):
        step = (until - START) // (600 * SECOND)
        records_of_chunk.append(
            (
                until - 1,
                0,
                RELEASE_UPDATE.number,
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
    return records_of_chunk


def write(writer, records, seed, progress):
    """Write a sample of `records` records to a Writer and close that."""
    for block in blocks(records, seed):
        writer.block(block)
        progress(len(block))
    writer.close()
