"""The whole system in a world of its own: real programs, one clock that jumps, faults drawn by seed, rules
watched.

Start reading at world.py (programs, net, disks), then day.py (machines, clients, operators, faults on one
clock) and rules.py (what must hold). loopback.py shows the same programs as processes on this machine."""
