"""All decisions of a balancer, without I/O, clock or threads. Start with balancer.py."""
