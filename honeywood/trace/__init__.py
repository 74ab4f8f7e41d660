"""Traces: a balancer's requests, its decisions and their reasons, in files that survive a crash.

Start with docs/trace-format.md and schema.py. The rules are in rules/; call_recorder.py defines what a
balancer records.
"""
