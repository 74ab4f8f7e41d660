"""The program: configuration, log and life cycle."""
