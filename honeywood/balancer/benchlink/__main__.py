"""Starts the bench's host."""

import sys

from honeywood.balancer.benchlink.adapter import main

sys.exit(main())
