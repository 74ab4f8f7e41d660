"""Starts the controller."""

from honeywood.gateway.startup import run

run("honeywood.gateway.controller.program", "Controller")
