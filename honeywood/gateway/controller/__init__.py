"""The program on core machines: serves machines and operators, keeps the register, steers rollouts.

Start reading at program.py, then app.py and operations.py.
"""
