"""Routing decisions: which endpoint may serve a request, which one gets it, and what its response means.

Nothing here does I/O or reads a clock: callers pass the current time. Start with `attempt_policy`, which
checks every attempt, then read `load_balancer` and `outcomes`.
"""
