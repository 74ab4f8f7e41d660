"""Slow peers: what may wait, and who is cut off. Being built; no balancer uses it yet.

Start with minimum_rates.py. docs/measured/pace.md has the figures that it is built on.
"""
