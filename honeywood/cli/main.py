"""The `honeywood` command and its groups."""

import importlib

import click

GROUPS = {
    "serve": "honeywood.cli.serve",
    "check": "honeywood.cli.check",
    "version": "honeywood.cli.version",
    "trace": "honeywood.cli.trace",
    "lab": "honeywood.cli.lab",
}


class Late(click.Group):
    """Imports a command only when it runs, so that none pays for the libraries of another."""

    def list_commands(self, ctx):
        return list(GROUPS)

    def get_command(self, ctx, name):
        return importlib.import_module(GROUPS[name]).command if name in GROUPS else None


@click.command(cls=Late, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def main():
    """A gateway with a release guard.

    Without a command, `python -m honeywood` starts a front, as `serve` does.
    """
