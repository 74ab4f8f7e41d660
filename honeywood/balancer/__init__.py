"""The balancer: routes RPCs to servers and guards releases, one process of threads on blocking sockets.

Start with interface.py, what passes between the decisions (decisions/) and their hosts: actors/ over sockets,
benchlink/ over the bench's wire. docs/architecture.md has the layers.
"""
