"""Outcome counts, their decay, and the first latency bin that counts as slow."""

from honeywood.release_analysis.outcome_statistics import LATENCY_BIN_EDGES, OutcomeStatistics


def statistics(failed, *latency_bins):
    result = OutcomeStatistics()
    for number, latency_bin in enumerate(latency_bins):
        result.add(1, number < failed, 1, latency_bin)
    return result


def test_the_sum_of_parts_has_all_their_counts():
    both = OutcomeStatistics([statistics(1, 0, 0, 3), statistics(2, 3, 8)])
    assert (both.failed, both.ended, both.total) == (3, 5, 5)
    assert both.bins == [2, 0, 0, 2, 0, 0, 0, 0, 1]


def test_counts_are_halved_only_while_enough_are_left():
    few, enough = statistics(2, *[0] * 19), statistics(2, *[0] * 20)
    few.halve()
    enough.halve()
    assert (few.failed, few.ended, few.total) == (2, 19, 19)
    assert (enough.failed, enough.ended, enough.total, enough.bins[0]) == (1, 10, 20, 10)


def test_the_slowest_quarter_at_most_counts_as_slow():
    first_slow_bin, share = statistics(0, *[0] * 6, *[2] * 6, *[5] * 4).slow_threshold()
    assert first_slow_bin == 6 and share == 1 / 18


def test_without_answers_only_the_last_bin_counts_as_slow():
    first_slow_bin, share = OutcomeStatistics().slow_threshold()
    assert first_slow_bin == len(LATENCY_BIN_EDGES) and share == 0.5
