"""Starts one front."""
import os

from honeywood.program.life import main

if __name__ == "__main__":
    os._exit(main())
