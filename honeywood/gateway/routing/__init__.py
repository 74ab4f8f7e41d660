"""Which machine a request goes to, whether it may go there, what its answer means. No socket, no clock.

Start reading at gate.py (the one place every send passes), then choose.py and answers.py.
"""
