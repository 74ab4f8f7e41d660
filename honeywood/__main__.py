"""Starts one balancer or, with arguments, the command line, which a balancer never imports."""

import os
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from honeywood.cli.entry import main as command_line

        command_line()
    from honeywood.balancer.program.main import main

    os._exit(main())
