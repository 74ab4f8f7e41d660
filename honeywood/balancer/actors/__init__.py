"""Actors with a mailbox each: one a client connection and server, one the platform, the list, the decisions.

Start with application.py, which joins them; docs/architecture.md says who owns what.
"""
