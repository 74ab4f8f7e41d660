"""Experiments with real balancers and stubs on loopback; their results are kept under docs/measured/.

Start reading at world.py, which runs a balancer with the stubs of its peers.
"""
