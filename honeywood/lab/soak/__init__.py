"""Soak tests: the real processes on one machine, with real sockets, under faults that overlap in time.

Start reading at soak.py (one seed), then rules.py (what must hold).
"""
