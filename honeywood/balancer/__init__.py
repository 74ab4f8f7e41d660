"""The balancer: routes RPCs to servers and guards releases, in one process with threads and blocking sockets.

Start with interface.py, the calls between the decisions (decisions/) and their hosts: actors/ uses sockets,
benchlink/ uses the bench's protocol. docs/architecture.md describes the layers.
"""
