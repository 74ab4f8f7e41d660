"""A summary of a trace, gathered block by block; its memory grows with methods, servers and builds alone."""

from collections import Counter

import numpy

from honeywood.trace.rules.lives import OUTCOMES, RESULTS, WHY, bar
from honeywood.trace.schema import ANSWER, ANSWERED_OK, DROPPED, KINDS, NEWS, PICK, RESULT, TAKEN, VOTE

# Latencies are counted in bins that grow by 2%, from a tenth of a ms to an hour: a percentile is told within
# 1%.
GROWTH = 1.02
BINS = 900
QUANTILES = (0.5, 0.95, 0.99, 0.999)
MOST_VOTES = 200  # that a summary lists
VERDICTS, STANDINGS = ("none", "on", "hold", "back"), ("on trial", "going back", "released", "withdrawn")


class Summary:
    def __init__(self):
        self.records = self.votes_in_all = 0
        self.first = self.last = None
        self.kinds, self.taken, self.answers, self.why = Counter(), Counter(), Counter(), Counter()
        self.picks, self.results, self.bars = Counter(), Counter(), Counter()
        self.dropped, self.latencies, self.votes, self.news = [0, 0], {}, [], []

    def add(self, entry, columns):
        """A block: selection.Entry, format.Columns. Only the columns that are told of are unpacked."""
        self.records += entry.count
        self.first = entry.first if self.first is None else min(self.first, entry.first)
        self.last = entry.last if self.last is None else max(self.last, entry.last)
        self.kinds.update(entry.kinds)

        def of(kind, *names):
            found = [columns.column(kind, kind.fields[kind.at[name]]) for name in names]
            return found if kind.number in entry.kinds and None not in found else [()] * len(names)

        self.taken.update(of(TAKEN, "method")[0])
        methods, outcomes, latencies, why = of(ANSWER, "method", "outcome", "latency", "why")
        self.answers.update(zip(methods, outcomes))
        self.why.update(why)
        self.add_latencies(methods, outcomes, latencies)
        self.picks.update(zip(*of(PICK, "server", "build")))
        for bars in of(PICK, "bars") + of(ANSWER, "bars"):
            self.bars.update(number for listed in bars for number in listed)
        self.results.update(zip(*of(RESULT, "build", "result")))
        for records, rpcs in zip(*of(DROPPED, "records", "rpcs")):
            self.dropped = [self.dropped[0] + records, self.dropped[1] + rpcs]
        if VOTE.number in entry.kinds or NEWS.number in entry.kinds:
            for record in columns.records({VOTE.number, NEWS.number}):
                self.add_decision(record)

    def add_latencies(self, methods, outcomes, latencies):
        if not len(latencies):
            return
        places = numpy.log(numpy.maximum(1, numpy.asarray(latencies))) / numpy.log(GROWTH)
        places = numpy.minimum(BINS - 1, places.astype(int))
        methods, fine = numpy.asarray(methods), numpy.asarray(outcomes) == ANSWERED_OK
        for method in set(methods.tolist()):
            counts = numpy.bincount(places[fine & (methods == method)], minlength=BINS)
            self.latencies[method] = self.latencies.get(method, 0) + counts

    def add_decision(self, record):
        got = dict(zip(KINDS[record.kind].at, record.values))
        if record.kind == VOTE.number:
            self.votes_in_all += 1
            if len(self.votes) < MOST_VOTES:
                tests = zip(got["ps"], got["tests"], got["seen"], got["of"], got["expected"])
                verdict = VERDICTS[got["verdict"] % len(VERDICTS)]
                self.votes.append((record.time, got["build"], got["step"], verdict, min(tests, default=None)))
            return
        now = got["build"], got["step"], STANDINGS[got["standing"] % len(STANDINGS)]
        if len(self.news) < MOST_VOTES and (not self.news or self.news[-1][1:4] != now):
            self.news.append((record.time, *now, got["cap"]))

    def quantiles(self, method):
        """{share: tenths of a ms} of the ok answers, None where there are none."""
        counts = self.latencies.get(method)
        if counts is None or not counts.sum():
            return None
        running = numpy.cumsum(counts)
        places = numpy.searchsorted(running, [share * running[-1] for share in QUANTILES])
        return {share: float(GROWTH ** (place + 0.5)) for share, place in zip(QUANTILES, places)}

    def plain(self):
        """All of it as JSON has it."""
        kinds = {KINDS[n].name if n in KINDS else f"unknown {n}": c for n, c in sorted(self.kinds.items())}
        methods = {}
        for method in sorted({*self.taken, *(method for method, _ in self.answers)}):
            ended = {word: self.answers[method, number] for number, word in OUTCOMES.items()}
            methods[method] = {
                "taken": self.taken[method],
                **ended,
                "latency_ms": {
                    f"p{100 * share:g}": round(value / 10, 2)
                    for share, value in (self.quantiles(method) or {}).items()
                },
            }
        builds, servers = Counter(), Counter()
        for (server, build), count in self.picks.items():
            builds[build] += count
            servers[server] += count
        results = {}
        for (build, result), count in sorted(self.results.items()):
            word = RESULTS[result] if result < len(RESULTS) else str(result)
            results.setdefault(str(build), {})[word] = count
        return {
            "records": self.records,
            "first": self.first,
            "last": self.last,
            "kinds": kinds,
            "methods": methods,
            "given_up_since": {WHY.get(n, str(n)): c for n, c in sorted(self.why.items()) if n},
            "servers_passed_over": {bar(n): c for n, c in sorted(self.bars.items()) if n},
            "picks_by_build": {str(build): count for build, count in sorted(builds.items())},
            "picks_by_server": dict(sorted(servers.items())),
            "results_by_build": results,
            "news": [list(one) for one in self.news],
            "votes": [list(one) for one in self.votes],
            "votes_in_all": self.votes_in_all,
            "dropped": {"records": self.dropped[0], "rpcs": self.dropped[1]},
        }
