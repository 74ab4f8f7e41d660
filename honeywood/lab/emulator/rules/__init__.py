"""The rules that must hold on every day; they are checked while the day is played.

The modules are free of I/O and clocks: all times are parameters. Start reading at rule.py (the list of
rules), then monitor.py.
"""
