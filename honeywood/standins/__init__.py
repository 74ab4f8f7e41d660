"""Scripted peers on loopback, shared by the tests and the lab.

They are written from the project's description of the protocols and import no code of the balancer or the
gateway.
"""
