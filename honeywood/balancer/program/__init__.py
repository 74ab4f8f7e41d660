"""The program: its life cycle, its log and the features enabled by an operator file. Start with main.py."""
