"""The operator file (HCL): what it switches on, read, checked and given defaults in one place.

Start with operator_file.py, its blocks and keys; reader.py reads files, keys.py the values of keys.
"""
