"""A program's calls to other programs over the simulated network."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING

from honeywood.gateway.errors import CallFailed
from honeywood.gateway.rpc.client import Caller
from honeywood.lab.emulator.network import Message

if TYPE_CHECKING:
    from honeywood.gateway.rpc.client import JsonObject
    from honeywood.lab.emulator.network import Network


class NetworkCaller(Caller):
    """Replaces a program's Caller in worlds."""

    def __init__(self, network: Network, node: str) -> None:
        """Create the caller of the program `node`."""
        self.bytes_by_path: Counter[str] = Counter()
        self._network = network
        self._node = node

    async def call(
        self, ip: str, port: int, path: str, body: JsonObject, timeout_s: float, idempotent: bool = False
    ) -> JsonObject:
        """Call the program whose name is `ip`; raises CallFailed if it fails or after `timeout_s` seconds."""
        response = self._network.send(Message(self._node, ip, path, json.dumps(body), idempotent))
        try:
            async with asyncio.timeout(timeout_s):
                result: JsonObject = await response
                return result
        except TimeoutError:
            raise CallFailed(path, "silence", ip) from None
