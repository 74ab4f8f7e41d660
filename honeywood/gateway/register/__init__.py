"""The replicated register: keys whose values a majority of disks agrees on by CASPaxos, without a leader.

Start reading at acceptor.py and proposal.py (the rules, pure), then row_store.py and register.py.
"""
