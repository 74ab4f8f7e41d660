"""Which endpoint a request goes to, whether it may go there, what its answer means. No socket, no clock.

Start reading at attempts.py (the one place every attempt passes), then balancer.py and outcomes.py.
"""
