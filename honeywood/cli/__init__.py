"""The command line: each command reads its arguments, calls a subsystem and prints the result.

Start reading at entry.py, then main.py, which defines the groups. A command imports its subsystem only when
it runs.
"""
