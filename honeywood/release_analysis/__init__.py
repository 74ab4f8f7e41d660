"""Statistics that compare a release with the one before it, shared by the balancer and the gateway.

Start with multiple_testing.py, the tests; outcome_statistics.py holds the counts that they are run on.
"""
