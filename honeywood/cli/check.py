"""`honeywood check`."""

import json
import os

import click


@click.command("check")
@click.option("--config", type=click.Path(), help="The configuration; otherwise ROUTER_CONFIG names it.")
@click.option("--operator", type=click.Path(), help="The operator file; otherwise ROUTER_OPERATOR names it.")
@click.option(
    "--compile",
    "out",
    type=click.Path(),
    help="Write the operator file in a form that a balancer reads without an HCL library.",
)
@click.option("--json", "plain", is_flag=True, help="Print the operator file's values as JSON.")
def command(config, operator, out, plain):
    """Check a balancer's configuration and operator file; status 2 if either is invalid."""
    from honeywood.balancer import configuration
    from honeywood.balancer.sections import InvalidConfiguration
    from honeywood.operator.operator_file import BLOCKS_KEY, InvalidOperatorFile, compiled
    from honeywood.operator.reader import read, write_compiled

    config = config or os.environ.get("ROUTER_CONFIG")
    operator = operator or os.environ.get("ROUTER_OPERATOR")
    if not config and not operator:
        raise click.UsageError("name a configuration or an operator file")
    wrong, values = [], {}
    if config:
        try:
            configuration.read({**os.environ, "ROUTER_CONFIG": config})
        except InvalidConfiguration as bad:
            wrong.append(str(bad))
    if operator:
        try:
            found = read(operator)
            values = compiled(found)[BLOCKS_KEY]
            if out:
                write_compiled(found, out)
        except InvalidOperatorFile as bad:
            wrong.append(str(bad))
    elif out:
        raise click.UsageError("--compile: no operator file is named")
    for text in wrong:
        click.echo(f"honeywood: {text}", err=True)
    if wrong:
        raise SystemExit(2)
    click.echo(json.dumps(values, indent=1) if plain else "nothing wrong")
