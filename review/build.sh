#!/bin/sh
# Builds the stand-ins of the scripts: they are Python without libraries, so they are only compiled as a check.
cd "$(dirname "$0")/.." && python3 -m py_compile review/harness.py review/*/case.py && find review -name __pycache__ -prune -exec rm -r {} +
