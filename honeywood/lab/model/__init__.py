"""The rules of register and rollouts, tried in every order in which messages and losses can come.

Start reading at explore.py (the search), then register.py (what is searched).
"""
