"""Routing decisions: which endpoint may serve a request, which one gets it, and what its response means.

Nothing here reads a clock or a socket; times are handed in. Start reading at `attempt_policy`, which every
attempt passes, then `load_balancer` and `outcomes`.
"""
