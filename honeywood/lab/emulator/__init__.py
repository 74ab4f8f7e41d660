"""The whole system in a simulated world: real programs on one simulated clock, faults drawn from a seed.

Start reading at world.py (programs and disks), network.py (calls between them) and process.py; then day.py
(what a day adds: fleet.py, clients.py, operators.py), faults/ (what fails) and rules/ (what must hold).
loopback.py shows the same programs as processes on this machine.
"""
