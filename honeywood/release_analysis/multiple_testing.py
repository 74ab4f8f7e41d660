"""The sorted cut of Benjamini and Hochberg over one-sided tests of two shares."""

from math import comb, erfc, sqrt

Q = 0.05  # level of the sorted cut (the design page's)
FAIL_MARGIN = 0.02  # points of failure share that a build on trial may trail the earlier by
LEAST = 20  # outcomes a method needs before it is tested
FEW = 5  # with fewer failures allowed than this, the exact tail is taken


def sorted_cut(ps, q):
    """Procedure (1): the indexes of the rejected p-values."""
    order = sorted(range(len(ps)), key=lambda i: ps[i])
    k = max((i for i, at in enumerate(order, 1) if ps[at] <= i / len(ps) * q), default=0)
    return sorted(order[:k])


def trails(k1, n1, k0, n0, margin):
    """The p-value of 'k1/n1 leads k0/n0 by no more than margin': a one-sided two-proportion z-test, or where
    fewer than FEW are allowed, and the normal curve is poor, the exact tail of the binomial at that share."""
    a, b = min(1.0, k1 / n1), k0 / n0
    if n1 * (b + margin) < FEW:
        n, k, share = round(n1), round(k1), min(1.0, b + margin)
        return sum(comb(n, i) * share**i * (1 - share) ** (n - i) for i in range(k, n + 1))
    spread, ahead = sqrt(a * (1 - a) / n1 + b * (1 - b) / n0), a - b - margin
    return 0.5 * erfc(ahead / spread / sqrt(2)) if spread else float(ahead <= 0)
