"""The rules that must hold on every day, checked while it is played. Pure: all times are parameters.

Start reading at rule.py (the rules), then monitor.py.
"""
