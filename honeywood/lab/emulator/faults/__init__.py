"""What fails in a day: drawn from a seed (draw.py), caused on the day's clock (causes.py), a module a kind.

All faults are tolerable: at most `tolerated_failures` disks are lost or down for long at once, and the rest
comes back.
"""
