"""The operator file (HCL), which switches optional subsystems on: reading, validation and defaults.

Start with operator_file.py, which defines the blocks and their keys. reader.py reads files; keys.py parses
the values of keys.
"""
