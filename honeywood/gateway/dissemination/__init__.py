"""News: what every program is to know, passed on by whoever heard it; the highest stamp of a key wins.

Start reading at store.py, then rendezvous.py (who knows whom) and subscriber.py (the loop that asks).
"""
