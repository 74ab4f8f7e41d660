"""`honeywood check`: validates a balancer's files."""

import json
import os

import click


@click.command("check")
@click.option("--config", type=click.Path(), help="The configuration file; by default, $ROUTER_CONFIG.")
@click.option("--operator", type=click.Path(), help="The operator file; by default, $ROUTER_OPERATOR.")
@click.option(
    "--compile",
    "compiled_path",
    type=click.Path(),
    help="Write the operator file in a form that a balancer reads without an HCL library.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the operator file's values as JSON.")
def command(config, operator, compiled_path, as_json):
    """Check a balancer's configuration and operator file; status 2 if either is invalid."""
    from honeywood.balancer import configuration
    from honeywood.balancer.sections import InvalidConfiguration
    from honeywood.operator.operator_file import BLOCKS_KEY, InvalidOperatorFile, compiled
    from honeywood.operator.reader import read, write_compiled

    config = config or os.environ.get("ROUTER_CONFIG")
    operator = operator or os.environ.get("ROUTER_OPERATOR")
    if not config and not operator:
        raise click.UsageError("specify a configuration or an operator file")
    errors, values = [], {}
    if config:
        try:
            configuration.read({**os.environ, "ROUTER_CONFIG": config})
        except InvalidConfiguration as error:
            errors.append(str(error))
    if operator:
        try:
            operator_file = read(operator)
            values = compiled(operator_file)[BLOCKS_KEY]
            if compiled_path:
                write_compiled(operator_file, compiled_path)
        except InvalidOperatorFile as error:
            errors.append(str(error))
    elif compiled_path:
        raise click.UsageError("--compile needs an operator file")
    for text in errors:
        click.echo(f"honeywood: {text}", err=True)
    if errors:
        raise SystemExit(2)
    click.echo(json.dumps(values, indent=1) if as_json else "nothing wrong")
