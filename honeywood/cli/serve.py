"""`honeywood serve`: starts a balancer."""

import os

import click


@click.command("serve")
@click.option("--config", type=click.Path(), help="The configuration file; by default, $ROUTER_CONFIG.")
@click.option("--operator", type=click.Path(), help="The operator file; by default, $ROUTER_OPERATOR.")
def command(config, operator):
    """Start a balancer; status 0 after SIGTERM, 2 if its files can't be used."""
    for name, path in (("ROUTER_CONFIG", config), ("ROUTER_OPERATOR", operator)):
        if path:
            os.environ[name] = path
    from honeywood.balancer.program.main import main

    os._exit(main())
