"""Staged rollouts of a service's versions: records, traffic policy, reports and decisions; no I/O.

Start with record.py, then read traffic_policy.py (used by proxies) and evaluator.py (used by controllers).
"""
