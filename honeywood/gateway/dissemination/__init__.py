"""Dissemination of versioned records between programs, until every program has all of them.

If two records have the same key, the one with the higher stamp wins.

Start with store.py, then messages.py, subscriber.py (polls other programs), publisher.py (answers polls) and
rendezvous.py (determines which program polls which). epochs.py and tombstones.py define which records are
dropped and not accepted again.
"""
