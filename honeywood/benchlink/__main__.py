"""Starts the bench adapter under the command that the deployment docs name."""

import sys

from honeywood.balancer.benchlink.adapter import main

sys.exit(main())
