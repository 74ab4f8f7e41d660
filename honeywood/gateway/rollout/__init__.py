"""Rollouts: what a stage lets a version get, what fronts count, and what the counts of all say. Pure.

Start reading at stage.py (a front's side), then verdict.py (a controller's side).
"""
