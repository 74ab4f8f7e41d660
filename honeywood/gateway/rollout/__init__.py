"""Staged rollouts of a service's versions: records, traffic policy, reports and decisions; no I/O.

Start reading at record.py, then traffic_policy.py (a proxy's side) and evaluator.py (a controller's side).
"""
