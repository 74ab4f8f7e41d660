"""News: what every program is to know, passed on by whoever heard it; the highest stamp of a key wins.

Start reading at board.py, then ring.py (who knows whom) and ear.py (the loop that asks).
"""
