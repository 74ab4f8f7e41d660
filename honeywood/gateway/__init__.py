"""The system: proxies on edge machines carry requests, controllers on core machines keep what must last.

Start reading at proxy/program.py and controller/program.py; docs/design/system.md says why.
"""
