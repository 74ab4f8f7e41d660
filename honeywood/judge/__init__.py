"""What the decisions are made of: the release guard's statistics (cut.py, counts.py), one text for the old
front, the bench's host and the system; the old front's own rules (judge.py, gate.py, routing.py, trial.py).
"""
