"""The entry point of the installed `honeywood` script and of `python -m honeywood COMMAND`.

This module imports no optional library itself, so that it can name the extra to install if one is missing.
"""

import sys

from honeywood.cli.extras import MissingExtrasError, extra_with

UNUSABLE = 2  # the exit status of a command if a file or library that it needs can't be used


def main() -> None:
    """Runs the command line.

    If a library is missing, prints one line that names its extra and exits with status 2.
    """
    try:
        from honeywood.cli.main import main as run_command

        run_command(prog_name="honeywood")
    except MissingExtrasError as error:
        _exit_unusable(error)
    except ModuleNotFoundError as error:
        extra = extra_with(error.name)
        if extra is None:
            raise
        _exit_unusable(MissingExtrasError([extra]))


def _exit_unusable(error: MissingExtrasError) -> None:
    print(f"honeywood: {error}", file=sys.stderr)
    sys.exit(UNUSABLE)
