"""The program on core machines: hears machines and operators, keeps the register, steers rollouts.

Start reading at program.py, then app.py (calls) and orders.py.
"""
