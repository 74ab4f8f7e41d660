"""The program on edge machines: takes clients' requests, passes them to machines, and answers.

Start reading at program.py, then carry.py (the life of a request).
"""
