"""Versioned records that every program is to have, passed on from process to process: of each key the highest
stamp wins.

Start reading at store.py, then messages.py, subscriber.py (who polls), publisher.py (who answers) and
rendezvous.py (who polls whom); epochs.py and tombstones.py say what is dropped, and never taken again.
"""
