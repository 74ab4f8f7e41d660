"""Summarizes a trace block by block; its memory grows only with methods, servers and builds."""

from collections import Counter

import numpy

from honeywood.trace.rules.rpc_history import GIVE_UP_REASONS, OUTCOME_TEXTS, RESULT_TEXTS, exclusion_text
from honeywood.trace.schema import (
    ANSWER,
    ANSWERED_OK,
    ARRIVAL,
    ATTEMPT,
    DROPPED,
    KINDS,
    RELEASE_UPDATE,
    RESULT,
    VOTE,
)

# Latencies are counted in bins that grow by 2%, from a tenth of a ms to an hour, so that a percentile is
# accurate within 1%.
BIN_GROWTH = 1.02
BINS = 900
QUANTILES = (0.5, 0.95, 0.99, 0.999)
MAX_LISTED_VOTES = 200  # listed in a summary; likewise for release updates
VERDICTS, RELEASE_STATES = ("none", "on", "hold", "back"), ("on trial", "going back", "released", "withdrawn")


class Summary:
    """The counts, latencies, votes and release updates of the added blocks."""

    def __init__(self):
        self.records = self.total_votes = 0
        self.first = self.last = None
        self.kinds, self.arrivals, self.answers, self.give_up_reasons = (
            Counter(),
            Counter(),
            Counter(),
            Counter(),
        )
        self.attempts, self.results, self.exclusions = Counter(), Counter(), Counter()
        self.dropped, self.latencies, self.votes, self.release_updates = [0, 0], {}, [], []

    def add(self, entry, columns):
        """Add a block: its selection.IndexEntry and format.Columns. Decodes only the columns it needs."""
        self.records += entry.count
        self.first = entry.first if self.first is None else min(self.first, entry.first)
        self.last = entry.last if self.last is None else max(self.last, entry.last)
        self.kinds.update(entry.kinds)

        def columns_of(kind, *names):
            found = [columns.column(kind, kind.fields[kind.positions[name]]) for name in names]
            return found if kind.number in entry.kinds and None not in found else [()] * len(names)

        self.arrivals.update(columns_of(ARRIVAL, "method")[0])
        methods, outcomes, latencies, reasons = columns_of(ANSWER, "method", "outcome", "latency", "why")
        self.answers.update(zip(methods, outcomes))
        self.give_up_reasons.update(reasons)
        self.add_latencies(methods, outcomes, latencies)
        self.attempts.update(zip(*columns_of(ATTEMPT, "server", "build")))
        for excluded in columns_of(ATTEMPT, "bars") + columns_of(ANSWER, "bars"):
            self.exclusions.update(number for numbers in excluded for number in numbers)
        self.results.update(zip(*columns_of(RESULT, "build", "result")))
        for records, rpcs in zip(*columns_of(DROPPED, "records", "rpcs")):
            self.dropped = [self.dropped[0] + records, self.dropped[1] + rpcs]
        if VOTE.number in entry.kinds or RELEASE_UPDATE.number in entry.kinds:
            for record in columns.records({VOTE.number, RELEASE_UPDATE.number}):
                self.add_decision(record)

    def add_latencies(self, methods, outcomes, latencies):
        if not len(latencies):
            return
        bins = numpy.log(numpy.maximum(1, numpy.asarray(latencies))) / numpy.log(BIN_GROWTH)
        bins = numpy.minimum(BINS - 1, bins.astype(int))
        methods, is_ok = numpy.asarray(methods), numpy.asarray(outcomes) == ANSWERED_OK
        for method in set(methods.tolist()):
            counts = numpy.bincount(bins[is_ok & (methods == method)], minlength=BINS)
            self.latencies[method] = self.latencies.get(method, 0) + counts

    def add_decision(self, record):
        fields = dict(zip(KINDS[record.kind].positions, record.values))
        if record.kind == VOTE.number:
            self.total_votes += 1
            if len(self.votes) < MAX_LISTED_VOTES:
                tests = zip(fields["ps"], fields["tests"], fields["seen"], fields["of"], fields["expected"])
                verdict = VERDICTS[fields["verdict"] % len(VERDICTS)]
                self.votes.append(
                    (record.time, fields["build"], fields["step"], verdict, min(tests, default=None))
                )
            return
        state = fields["build"], fields["step"], RELEASE_STATES[fields["standing"] % len(RELEASE_STATES)]
        if len(self.release_updates) < MAX_LISTED_VOTES and (
            not self.release_updates or self.release_updates[-1][1:4] != state
        ):
            self.release_updates.append((record.time, *state, fields["cap"]))

    def quantiles(self, method):
        """Return {quantile: tenths of a ms} of a method's ok answers, None where there are none."""
        counts = self.latencies.get(method)
        if counts is None or not counts.sum():
            return None
        cumulative = numpy.cumsum(counts)
        bins = numpy.searchsorted(cumulative, [quantile * cumulative[-1] for quantile in QUANTILES])
        return {
            quantile: float(BIN_GROWTH ** (bin_index + 0.5)) for quantile, bin_index in zip(QUANTILES, bins)
        }

    def plain(self):
        """Return the summary as JSON values."""
        kinds = {KINDS[n].name if n in KINDS else f"unknown {n}": c for n, c in sorted(self.kinds.items())}
        methods = {}
        for method in sorted({*self.arrivals, *(method for method, _ in self.answers)}):
            outcome_counts = {word: self.answers[method, number] for number, word in OUTCOME_TEXTS.items()}
            methods[method] = {
                "taken": self.arrivals[method],
                **outcome_counts,
                "latency_ms": {
                    f"p{100 * quantile:g}": round(value / 10, 2)
                    for quantile, value in (self.quantiles(method) or {}).items()
                },
            }
        builds, servers = Counter(), Counter()
        for (server, build), count in self.attempts.items():
            builds[build] += count
            servers[server] += count
        results = {}
        for (build, result), count in sorted(self.results.items()):
            word = RESULT_TEXTS[result] if result < len(RESULT_TEXTS) else str(result)
            results.setdefault(str(build), {})[word] = count
        return {
            "records": self.records,
            "first": self.first,
            "last": self.last,
            "kinds": kinds,
            "methods": methods,
            "given_up_since": {
                GIVE_UP_REASONS.get(n, str(n)): c for n, c in sorted(self.give_up_reasons.items()) if n
            },
            "servers_passed_over": {exclusion_text(n): c for n, c in sorted(self.exclusions.items()) if n},
            "picks_by_build": {str(build): count for build, count in sorted(builds.items())},
            "picks_by_server": dict(sorted(servers.items())),
            "results_by_build": results,
            "news": [list(listed) for listed in self.release_updates],
            "votes": [list(listed) for listed in self.votes],
            "votes_in_all": self.total_votes,
            "dropped": {"records": self.dropped[0], "rpcs": self.dropped[1]},
        }
