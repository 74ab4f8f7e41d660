"""The controller: serves machines and operators, is a member of the register, and advances rollouts.

It runs on core machines. Start reading at program.py, then app.py and operations.py for the calls, and
rollout_steering.py for the rollouts.
"""
