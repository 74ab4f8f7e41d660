"""The program: life cycle, log, and what an operator file switches on. Start with main.py."""
