"""Tests of the faults that are drawn for a soak test."""

from ward import test

from honeywood.lab.soak.faults import FaultKind, draw_faults


@test("drawn faults overlap, are the same for the same seed, and include every kind within a few seeds")
def _():
    kinds = set()
    for seed in range(1, 9):
        faults = draw_faults(seed, 12.0)
        kinds |= {fault.kind for fault in faults}
        assert any(
            one.at_s < other.at_s < one.at_s + one.duration_s
            for one in faults
            for other in faults
            if one is not other
        )
        assert faults == draw_faults(seed, 12.0)
    assert kinds == set(FaultKind)
