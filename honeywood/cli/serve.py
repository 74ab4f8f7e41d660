"""`honeywood serve`."""

import os

import click


@click.command("serve")
@click.option("--config", type=click.Path(), help="The configuration; otherwise ROUTER_CONFIG names it.")
@click.option("--operator", type=click.Path(), help="The operator file; otherwise ROUTER_OPERATOR names it.")
def command(config, operator):
    """Start a balancer; status 0 after SIGTERM, 2 if its files can't be used."""
    for name, given in (("ROUTER_CONFIG", config), ("ROUTER_OPERATOR", operator)):
        if given:
            os.environ[name] = given
    from honeywood.balancer.program.main import main

    os._exit(main())
