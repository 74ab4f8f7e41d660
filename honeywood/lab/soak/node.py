"""One process of a soak test: the real program, with simulated partitions.

`python -m honeywood.lab.soak.node proxy|controller` reads its blocked addresses from the file that the
environment variable BLOCKED_ADDRESSES_FILE specifies. Calls and connections to these addresses time out.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import httpcore

from honeywood.gateway.controller.program import Controller
from honeywood.gateway.errors import CallFailed
from honeywood.gateway.metrics import parse_port
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.rpc.client import Caller
from honeywood.gateway.rpc.connection import Connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.proxy.connection_pool import Connect
    from honeywood.gateway.rpc.client import JsonObject

BLOCKED_ADDRESSES_FILE = "SOAK_BLOCKED_ADDRESSES"
REREAD_INTERVAL_S = 0.05


class BlockedAddresses:
    """The addresses that this process currently can't reach."""

    def __init__(self, path: Path) -> None:
        """`path` is a file with a JSON list of "ip" and "ip:port", which the soak replaces atomically."""
        self._path = path
        self._read_at = 0.0
        self._addresses: frozenset[str] = frozenset()

    def blocks(self, ip: str, port: int) -> bool:
        """Return whether an address is blocked."""
        now = time.monotonic()
        if now - self._read_at > REREAD_INTERVAL_S:
            self._addresses = frozenset(json.loads(self._path.read_text(encoding="utf-8")))
            self._read_at = now
        return ip in self._addresses or f"{ip}:{port}" in self._addresses


class PartitionedCaller(Caller):
    """A caller whose calls to blocked addresses time out."""

    def __init__(self, blocked: BlockedAddresses) -> None:
        """Calls to the addresses in `blocked` time out."""
        super().__init__()
        self._blocked = blocked

    async def call(
        self, ip: str, port: int, path: str, body: JsonObject, timeout_s: float, idempotent: bool = False
    ) -> JsonObject:
        """Make a call as Caller.call does; raise CallFailed after the timeout if the address is blocked."""
        if self._blocked.blocks(ip, port):
            await asyncio.sleep(timeout_s)
            raise CallFailed(path, "cut off", f"{ip}:{port}")
        return await super().call(ip, port, path, body, timeout_s, idempotent)


def partitioned_connect(blocked: BlockedAddresses) -> Connect:
    """Return a function that opens connections as Connection.open does, except to blocked addresses."""

    async def connect(
        ip: str, port: int, timeout_s: float, on_count_change: Callable[[int], None]
    ) -> Connection:
        if blocked.blocks(ip, port):
            await asyncio.sleep(timeout_s)
            raise httpcore.ConnectTimeout("cut off")
        return await Connection.open(ip, port, timeout_s, on_count_change)

    return connect


def main() -> None:
    """Run the program that the first argument specifies."""
    role, *arguments = sys.argv[1:]
    blocked = BlockedAddresses(Path(os.environ[BLOCKED_ADDRESSES_FILE]))
    caller = PartitionedCaller(blocked)
    program: Proxy | Controller
    if role == "proxy":
        program = Proxy(None, caller, connect=partitioned_connect(blocked))
    else:
        program = Controller(None, caller)
    program.metrics_endpoint.port = parse_port(arguments)
    asyncio.run(program.run())


if __name__ == "__main__":
    main()
