"""Minimum transfer rates of peers, below which a connection is closed. Not used by the balancer yet.

Start with minimum_rates.py. docs/measured/pace.md has the measurements behind the design.
"""
