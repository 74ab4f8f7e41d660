"""What the installed `honeywood` script and `python -m honeywood COMMAND` call.

It imports no optional library itself, so that it can name the extra where one is missing.
"""

import sys

from honeywood.cli.extras import MissingExtrasError, extra_with

UNUSABLE = 2  # the exit status of all commands where something they need can't be used


def main() -> None:
    """Runs the command line; where a library is missing, one line names its extra and the status is 2."""
    try:
        from honeywood.cli.main import main as run_command

        run_command(prog_name="honeywood")
    except MissingExtrasError as error:
        _end(error)
    except ModuleNotFoundError as error:
        extra = extra_with(error.name)
        if extra is None:
            raise
        _end(MissingExtrasError([extra]))


def _end(error: MissingExtrasError) -> None:
    print(f"honeywood: {error}", file=sys.stderr)
    sys.exit(UNUSABLE)
