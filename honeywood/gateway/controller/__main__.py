"""Run a controller: `python3 -S -m honeywood.gateway.controller`."""

from honeywood.gateway.startup import run

run("honeywood.gateway.controller.program", "Controller")
