"""Which machine a request goes to, whether it may go there, and what its answer means. Pure: no socket, no clock.

Start reading at carry.py (the life of a request), then gate.py (the one place every send passes).
"""
