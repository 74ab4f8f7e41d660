"""Sockets, buffers, mailboxes, timers and the clock. Knows nothing of what is said over them."""
