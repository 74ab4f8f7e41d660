"""What every program is to know, passed on by whoever heard it; the highest stamp of a key wins.

Start reading at store.py, then messages.py, subscriber.py (who asks), publisher.py (who answers) and
rendezvous.py (who knows whom); epochs.py and tombstones.py say what is dropped, and never taken again.
"""
