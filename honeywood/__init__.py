"""honeywood: a balancer that routes RPCs and guards releases."""
