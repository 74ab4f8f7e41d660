"""The replicated register: a key-value store replicated by CASPaxos, without a leader.

Start reading at acceptor.py and proposal.py (the pure protocol rules), then row_store.py and register.py.
"""
