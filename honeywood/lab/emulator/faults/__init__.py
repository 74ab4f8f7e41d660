"""Fault injection: faults are drawn from the seed of a day (draw.py) and caused at their times (causes.py).

The other modules implement the faults, one module for each group of kinds. The system must tolerate all of
them: at most `tolerated_failures` controllers lose their disks or are down for long at once, and everything
else recovers.
"""
