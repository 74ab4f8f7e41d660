"""Versioned records that spread from program to program until all have them.

Of two records with one key the one with the higher stamp wins.

Start reading at store.py, then messages.py, subscriber.py (who polls), publisher.py (who answers) and
rendezvous.py (who polls whom); epochs.py and tombstones.py say what is dropped, and never taken again.
"""
