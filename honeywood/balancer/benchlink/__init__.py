"""The bench's host: the decisions on the wire of the simulator, over standard input and output.

Start with codec.py, the wire; instance.py hosts one balancer's decisions, adapter.py all of a process.
"""
