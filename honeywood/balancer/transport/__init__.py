"""Sockets, buffers, mailboxes, timers and the clock, independent of the protocols that use them.

Start with connection.py and mailbox.py.
"""
