"""The bench's wire: codec.py reads and writes it, adapter.py hosts the decisions behind it."""
