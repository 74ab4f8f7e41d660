"""The command line: each command reads its arguments, calls a subsystem and prints the result.

Start reading at entry.py, then main.py, which has the groups. A command imports its subsystem when it runs.
"""
