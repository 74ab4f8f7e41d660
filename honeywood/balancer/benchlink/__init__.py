"""Adapter that connects the decisions to the bench, a simulator, over standard input and output.

Start with codec.py, the binary protocol; instance.py hosts the decisions of one balancer, adapter.py all
instances of a process.
"""
