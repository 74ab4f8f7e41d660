"""The rules of the trace, one per module. They do no I/O and use no thread or clock: times are passed in."""
