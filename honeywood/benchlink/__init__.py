"""`python -m honeywood.benchlink`, as the deploy pages name it; see honeywood/balancer/benchlink."""
