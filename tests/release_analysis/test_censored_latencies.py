"""The estimate of latencies when some attempts had no answer for as long as they were observed."""

from math import inf

from hypothesis import given
from hypothesis import strategies as st

from honeywood.release_analysis.censored_latencies import estimate_latencies

COUNTS = st.lists(st.integers(0, 40), min_size=9, max_size=9)


def test_without_unanswered_attempts_the_answered_ones_are_the_estimate():
    for unanswered in ([], [0, 0, 0]):
        estimate = estimate_latencies([5, 3, 2], unanswered)
        assert (estimate.total, estimate.bins, estimate.weights) == (10, [5, 3, 2], [1, 1, 1])
        assert (estimate.count_from(1), estimate.sample_size(1), estimate.share_from(1)) == (5, 10, 0.5)
        assert estimate.highest_known_bin(2) == 2


def test_an_unanswered_attempt_is_shared_by_those_observed_for_longer():
    # Actuarial estimate: of 10 - 2/2 attempts 3 end in the first bin, of 5 more 1 ends in the second.
    estimate = estimate_latencies([3, 1, 4], [2, 0, 0])
    assert estimate.total == 10 and abs(estimate.share_from(1) - 6 / 9) < 1e-12
    assert abs(estimate.share_from(2) - 6 / 9 * 4 / 5) < 1e-12
    assert abs(estimate.sample_size(2) - 10 / (10 / 9 * 6 / 5)) < 1e-12


def test_attempts_cut_off_anywhere_in_a_bin_hardly_change_the_share_of_those_that_exceed_it():
    # 400 latencies, spread evenly over two bins; 200 were observed for times that are spread likewise.
    # If all that were cut off in the first bin had counted as exceeding it, its share would be 0.56.
    estimate = estimate_latencies([175, 125], [75, 25])
    assert abs(estimate.share_from(1) - 0.5) < 0.02


def test_nothing_is_known_beyond_the_longest_observation():
    estimate = estimate_latencies([6, 0, 0, 0], [0, 4, 0, 0])
    assert estimate.weights == [1, 1, inf, inf] and estimate.bins == [6, 0, 0, 4]
    assert estimate.highest_known_bin(3) == 1 and estimate.sample_size(2) == 0
    assert estimate_latencies([0, 0], [7, 0]).highest_known_bin(1) == 0


def test_a_few_attempts_in_flight_do_not_hide_that_almost_all_answers_are_quicker():
    # One attempt that had waited longer than all others made the next bin unknown, so that the test of slow
    # answers used a lower bin for as long as the attempt was in flight.
    estimate = estimate_latencies([1, 1, 8, 0, 0], [1, 0, 1, 0, 0])
    assert estimate.highest_known_bin(3) == 3
    assert 0 < estimate.count_from(3) < 1 and 10 < estimate.sample_size(3) <= 12
    assert estimate_latencies([1, 1, 8, 0, 0], [1, 0, 3, 0, 0]).highest_known_bin(3) == 2


def test_a_bin_that_few_observations_stand_for_is_not_compared():
    estimate = estimate_latencies([6, 0, 1], [0, 5, 0])
    assert estimate.weights[2] == 6 and estimate.highest_known_bin(2) == 1


@given(COUNTS, COUNTS)
def test_the_estimate_keeps_the_number_of_attempts_and_never_makes_them_quicker(answered, unanswered):
    estimate = estimate_latencies(answered, unanswered)
    assert abs(sum(estimate.bins) - estimate.total) < 1e-6
    for first_bin in range(1, 9):
        if estimate.weights[first_bin] == inf or not estimate.total:
            continue
        known_beyond = sum(answered[first_bin:]) + sum(unanswered[first_bin:])
        assert estimate.share_from(first_bin) >= min(1.0, known_beyond / estimate.total) - 1e-9
        assert estimate.sample_size(first_bin) <= estimate.total + 1e-9
