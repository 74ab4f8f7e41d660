"""The register: versions on a majority of disks, changed by ballots, with no log and no leader.

Start reading at acceptor.py and proposer.py (rules, pure), then row_store.py and register.py.
"""
