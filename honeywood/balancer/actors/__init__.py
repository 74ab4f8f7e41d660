"""The actors of a balancer, each with its own mailbox.

There is one actor for each client connection and each server, and one each for the platform, the server list
and the decisions. Start with application.py, which creates and connects them; docs/architecture.md lists what
each actor owns.
"""
