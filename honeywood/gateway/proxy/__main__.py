"""Runs the proxy."""

from honeywood.gateway.startup import run

run("honeywood.gateway.proxy.program", "Proxy")
