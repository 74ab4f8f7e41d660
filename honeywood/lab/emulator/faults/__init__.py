"""What goes wrong in a day: drawn by a seed (drawing.py), caused on the day's clock, a module a kind.

All faults are within what must be borne: at most `bear` disks are lost or down for long at once, and the rest
comes back. fault.py holds the record of a fault and what all kinds share.
"""

from honeywood.lab.emulator.faults.drawing import cause, draw
from honeywood.lab.emulator.faults.fault import Fault, start_spread

__all__ = ["Fault", "cause", "draw", "start_spread"]
