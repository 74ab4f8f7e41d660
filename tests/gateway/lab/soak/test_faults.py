"""The faults that a soak draws."""

from ward import test

from honeywood.lab.soak.faults import FaultKind, draw_faults


@test("faults overlap: at least two last at one moment, of every kind over a few seeds")
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
