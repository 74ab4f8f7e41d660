"""Soak tests: the real processes on one machine, with real sockets, under overlapping faults.

Start reading at soak.py (one seed), then rules.py (the rules that are checked).
"""
