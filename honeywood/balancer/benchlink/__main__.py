"""Starts the bench adapter."""

import sys

from honeywood.balancer.benchlink.adapter import main

sys.exit(main())
