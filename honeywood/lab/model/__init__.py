"""Model checking of the register and of rollouts: every order of messages and faults, up to a depth.

Start reading at search.py (the search), then register_model.py (what is searched). disk_model.py,
faulty_file_operations.py and crash_histories.py test the register's files against loss of power.
"""
