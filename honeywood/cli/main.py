"""The `honeywood` command and its groups."""

import importlib

import click

from honeywood.cli.extras import MissingExtrasError, require

GROUPS = {
    "serve": "honeywood.cli.serve",
    "check": "honeywood.cli.check",
    "version": "honeywood.cli.version",
    "trace": "honeywood.cli.trace",
    "lab": "honeywood.cli.lab",
}
EXTRAS = {"trace": ("trace-tools",)}  # the extras that a group's import needs in addition to `cli`


class LazyGroup(click.Group):
    """Imports a command only when it runs, so that no command needs or loads the libraries of another."""

    def list_commands(self, ctx):
        return list(GROUPS)

    def get_command(self, ctx, name):
        if name not in GROUPS:
            return None
        require(*EXTRAS.get(name, ()))
        return importlib.import_module(GROUPS[name]).command

    def format_commands(self, ctx, formatter):
        """Lists each command on a line, including commands whose extra isn't installed."""
        rows = []
        for name in self.list_commands(ctx):
            try:
                rows.append((name, self.get_command(ctx, name).get_short_help_str(limit=90)))
            except MissingExtrasError as error:
                rows.append((name, str(error)))
        with formatter.section("Commands"):
            formatter.write_dl(rows)


@click.command(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110}
)
def main():
    """An API gateway with guarded releases, and the older balancer.

    Without a command, `python -m honeywood` starts a balancer, as `serve` does.
    """
