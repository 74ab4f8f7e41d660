"""Statistics that compare a release with the previous one, shared by the balancer and the gateway.

Start with multiple_testing.py, which has the statistical tests; outcome_statistics.py has their samples.
"""
