"""One process of the system as a soak starts it: the real program, whose calls and connections to the
addresses named in a file don't get through.

`python -m honeywood.lab.soak.node proxy|controller`, with the file in SOAK_CUTS.
"""

import asyncio
import json
import os
import sys
import time

import httpcore

from honeywood.gateway.controller.program import Controller
from honeywood.gateway.errors import CallFailed
from honeywood.gateway.metrics import parse_port
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.rpc.client import Caller
from honeywood.gateway.rpc.connection import Connection

CUTS_FILE = "SOAK_CUTS"  # the variable that names the file: a JSON list of "ip" and "ip:port"
REREAD_S = 0.05  # seconds between looks at the file


class Cuts:
    """The addresses that this process can't reach just now."""

    def __init__(self, path):
        """`path` is written anew as a whole by the soak."""
        self.path, self.read_at, self.cut = path, 0.0, frozenset()

    def bar(self, ip, port):
        """Whether an address can't be reached."""
        now = time.monotonic()
        if now - self.read_at > REREAD_S:
            with open(self.path, encoding="utf-8") as file:
                self.read_at, self.cut = now, frozenset(json.load(file))
        return ip in self.cut or f"{ip}:{port}" in self.cut


class CutCaller(Caller):
    """Calls that get no answer where the peer is cut off."""

    def __init__(self, cuts):
        super().__init__()
        self.cuts = cuts

    async def call(self, ip, port, path, body, within, idempotent=False):
        """As Caller.call."""
        if self.cuts.bar(ip, port):
            await asyncio.sleep(within)
            raise CallFailed(path, "cut off", f"{ip}:{port}")
        return await super().call(ip, port, path, body, within, idempotent)


def cut_connect(cuts):
    """Opens connections as Connection.open does, but for those that are cut off."""

    async def connect(ip, port, within_s, *on_change):
        if cuts.bar(ip, port):
            await asyncio.sleep(within_s)
            raise httpcore.ConnectTimeout("cut off")
        return await Connection.open(ip, port, within_s, *on_change)

    return connect


def main():
    """Runs the program that the first word names."""
    role, *arguments = sys.argv[1:]
    cuts = Cuts(os.environ[CUTS_FILE])
    if role == "proxy":
        program = Proxy(None, CutCaller(cuts), connect=cut_connect(cuts))
    else:
        program = Controller(None, CutCaller(cuts))
    program.metrics_endpoint.port = parse_port(arguments)
    asyncio.run(program.run())


if __name__ == "__main__":
    main()
