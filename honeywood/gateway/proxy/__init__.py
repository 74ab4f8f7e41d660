"""The program on edge machines: forwards clients' requests to service machines, and relays the responses.

Start reading at program.py, then forwarder.py (how a request is forwarded).
"""
