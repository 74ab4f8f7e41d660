"""The statistics of the release guard, one text for the old front, the bench's host and the system.

Start reading at cut.py (the sorted cut and its tests), then counts.py (what they run on).
"""
