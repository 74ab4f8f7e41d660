"""All decisions of a balancer, without I/O, clocks or threads. Start with balancer.py."""
