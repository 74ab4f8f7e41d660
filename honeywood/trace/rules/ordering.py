"""The order of merged traces: by mended time between fronts, as each front wrote it within one; and what
stands in two files of one run is taken once."""

from heapq import heapify, heappop, heapreplace
from itertools import groupby


def merged(streams):
    """Records of streams of (time, record), one a source, in one order: by time, but never against a stream's
    own order, where its clock stepped back. Yields (time as it was mended, place of the stream, record)."""
    heap = []
    for place, stream in enumerate(map(iter, streams)):
        for time, record in stream:
            heap.append((time, place, time, record, stream))
            break
    heapify(heap)
    while heap:
        latest, place, time, record, stream = heap[0]
        yield time, place, record
        for time, record in stream:
            heapreplace(heap, (max(latest, time), place, time, record, stream))
            break
        else:
            heappop(heap)


class Union:
    """The records of one run that stand in several files, each of which may hold a part (a cut of the other,
    a copy, the file before it in the run): each once, in the run's order. `twice` counts what stood in
    two."""

    def __init__(self, streams):
        self.streams, self.twice = streams, 0

    def __iter__(self):
        if len(self.streams) == 1:
            yield from self.streams[0]
            return
        groups = [groupby(stream, key=lambda record: record.time) for stream in self.streams]
        for _, same in groupby(together(groups), key=lambda group: group[0]):
            same = [records for _, records in same]
            whole = max(same, key=len)
            self.twice += sum(map(len, same)) - len(whole)
            for records in same:
                extra = missing(records, whole)
                self.twice -= len(extra)
                whole = [*whole, *extra]
            yield from whole


def together(groups):
    """(time, records) of each stream's groups of one time, all streams in the order of time."""
    heap = []
    for place, group in enumerate(groups):
        for time, records in group:
            heap.append((time, place, list(records), group))
            break
    heapify(heap)
    while heap:
        time, place, records, group = heap[0]
        yield time, records
        for time, records in group:
            heapreplace(heap, (time, place, list(records), group))
            break
        else:
            heappop(heap)


def missing(records, whole):
    """Those of `records` that `whole` has not, as often as each stands there."""
    left, extra = list(whole), []
    for record in records:
        if record in left:
            left.remove(record)
        else:
            extra.append(record)
    return extra
