"""Starts the bench's host by the command that the deploy pages name."""

import sys

from honeywood.balancer.benchlink.adapter import main

sys.exit(main())
