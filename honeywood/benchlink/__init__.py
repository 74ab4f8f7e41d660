"""The command `python -m honeywood.benchlink` of the deployment docs; see honeywood/balancer/benchlink."""
