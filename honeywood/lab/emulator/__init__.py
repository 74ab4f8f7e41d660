"""A deterministic simulation of the whole system: real programs on one simulated clock, with random faults.

A simulation run is called a day; its random seed determines everything that happens in it. Start reading at
world.py (programs and disks), network.py (calls between programs) and process.py. Then read day.py, fleet.py,
clients.py and operators.py (the load of a day), faults/ (what fails) and rules/ (what must always hold).
loopback.py is a demonstration that runs the same programs as real processes on this machine.
"""
