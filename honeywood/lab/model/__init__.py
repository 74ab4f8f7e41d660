"""Model checking of the register and of rollouts: all orders of messages and faults up to a given depth.

Start reading at search.py (the search), then register_model.py (the model that is searched). disk_model.py,
faulty_file_operations.py and crash_histories.py test how the register's files survive power loss.
"""
