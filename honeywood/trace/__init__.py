"""The trace: what a front was asked, what it decided and why, in files that survive a crash.

Start with docs/trace-format.md and schema.py; rules/ decides, call_recorder.py
says what a balancer records.
"""
