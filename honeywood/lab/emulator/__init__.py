"""The whole system in a world of its own: real programs, one clock that jumps, faults drawn by seed, rules
watched.

Start reading at world.py (programs and disks), network.py (calls between them) and process.py; then day.py
(what a day adds: fleet.py, clients.py, operators.py), faults/ (what goes wrong) and rules/ (what must hold).
loopback.py shows the same programs as processes on this machine.
"""
