"""The operator file (HCL): what other installations switch on beyond the platform's own configuration.

Start with rules.py, which says what may stand in it; read.py brings it in, from HCL or compiled.
"""
