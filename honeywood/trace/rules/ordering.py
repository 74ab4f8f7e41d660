"""Orders merged traces: by corrected time between balancers, in the written order within one.

Records that are in several files of one run are merged once.
"""

from heapq import heapify, heappop, heapreplace
from itertools import groupby


def merge_streams(streams):
    """Merge streams of (time, record), one per source, by time.

    The order within a stream is kept even where its clock stepped back.

    Yields:
        (corrected time, index of the stream, record).
    """
    heap = []
    for index, stream in enumerate(map(iter, streams)):
        for time, record in stream:
            heap.append((time, index, time, record, stream))
            break
    heapify(heap)
    while heap:
        latest, index, time, record, stream = heap[0]
        yield time, index, record
        for time, record in stream:
            heapreplace(heap, (max(latest, time), index, time, record, stream))
            break
        else:
            heappop(heap)


class DeduplicatedRun:
    """Iterates over the records of one run in several files: each record once, in the run's order.

    A file may be a cut or a copy of another one, or precede it in the run. `duplicates` counts the dropped
    records.
    """

    def __init__(self, streams):
        self.streams, self.duplicates = streams, 0

    def __iter__(self):
        if len(self.streams) == 1:
            yield from self.streams[0]
            return
        groups = [groupby(stream, key=lambda record: record.time) for stream in self.streams]
        for _, same in groupby(merge_groups(groups), key=lambda group: group[0]):
            same = [records for _, records in same]
            known = max(same, key=len)
            self.duplicates += sum(map(len, same)) - len(known)
            for records in same:
                extra = missing(records, known)
                self.duplicates -= len(extra)
                known = [*known, *extra]
            yield from known


def merge_groups(groups):
    """Yield (time, records) of the groups of equal time of all streams, in order of time."""
    heap = []
    for index, group in enumerate(groups):
        for time, records in group:
            heap.append((time, index, list(records), group))
            break
    heapify(heap)
    while heap:
        time, index, records, group = heap[0]
        yield time, records
        for time, records in group:
            heapreplace(heap, (time, index, list(records), group))
            break
        else:
            heappop(heap)


def missing(records, known):
    """Return the records that are not in `known`; repeated ones count as often as they occur."""
    unmatched, extra = list(known), []
    for record in records:
        if record in unmatched:
            unmatched.remove(record)
        else:
            extra.append(record)
    return extra
