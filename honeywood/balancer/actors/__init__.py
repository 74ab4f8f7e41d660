"""Actors with a mailbox each: one a client connection, server and platform, one the list, one the module."""
