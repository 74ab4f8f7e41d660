"""The program on core machines: serves machines and operators, takes part in the register, steers rollouts.

Start reading at program.py, then app.py and operations.py (calls) and rollout_steering.py.
"""
