"""Slow peers: what may wait, and who is cut off. Being built; no front uses it yet.

Start with rules.py. docs/measured/pace.md has the figures that it is built on.
"""
