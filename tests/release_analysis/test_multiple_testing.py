"""The statistical tests, checked against worked examples."""

from honeywood.release_analysis.multiple_testing import benjamini_hochberg, inferiority_p_value


def test_benjamini_hochberg():
    # The example of the paper's section 3.2: at 0.05 the four smallest of 15 p-values are rejected.
    paper = [
        0.0001,
        0.0004,
        0.0019,
        0.0095,
        0.0201,
        0.0278,
        0.0298,
        0.0344,
        0.0459,
        0.3240,
        0.4262,
        0.5719,
        0.6528,
        0.7590,
        1.0,
    ]
    assert benjamini_hochberg(paper, 0.05) == [0, 1, 2, 3]
    assert benjamini_hochberg(paper[::-1], 0.05) == [11, 12, 13, 14]
    assert benjamini_hochberg([0.05], 0.05) == [0] and benjamini_hochberg([0.051], 0.05) == []  # m = 1
    assert benjamini_hochberg([0.03, 0.03, 0.9], 0.05) == [0, 1]  # ties
    assert benjamini_hochberg([0.2, 0.9], 0.05) == [] and benjamini_hochberg([], 0.05) == []  # none
    # The largest k decides: 0.03 exceeds 1/3 * 0.05, but is rejected because 0.033 is below 2/3 * 0.05.
    assert benjamini_hochberg([0.03, 0.033, 0.9], 0.05) == [0, 1]


def test_inferiority_p_value():
    # (0.5 - 0.1 - 0.1) / sqrt(0.25/50 + 0.09/100) = 3.906, whose upper tail is 4.7e-5.
    assert abs(inferiority_p_value(25, 50, 10, 100, 0.1) - 4.7e-5) < 2e-6
    assert inferiority_p_value(0, 20, 0, 20, 0.02) > 0.999
    assert inferiority_p_value(20, 20, 0, 20, 0.02) < 1e-30
    # Few failures are allowed, so the exact tail is used: P(X >= 11 of 119 at 0.0225) is 9.9e-5, while the
    # z-test would give 0.004.
    assert 5e-5 < inferiority_p_value(11, 119, 1, 400, 0.02) < 2e-4
