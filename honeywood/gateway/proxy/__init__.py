"""The program on edge machines: takes clients' requests, passes them to machines, and answers.

Start reading at program.py, then forwarding.py (the life of a request).
"""
