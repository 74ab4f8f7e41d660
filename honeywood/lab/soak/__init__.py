"""The system's own processes on one machine, with real sockets, under troubles that overlap in time.

Start reading at run.py (one seed), then rules.py (what must hold).
"""
