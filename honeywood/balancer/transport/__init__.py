"""Sockets, buffers, mailboxes, timers and the clock: they know nothing of what is said over them.

Start with connection.py and mailbox.py.
"""
