"""The system: stalls on edge machines carry requests, bourses on core machines keep what must last.

Start reading at proxy/program.py and controller/program.py; docs/design/system.md says why.
"""
