"""The operator of a soak: configurations whose tenants' keys come, go and move."""

import asyncio
import random

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.rpc.client import Caller
from honeywood.gateway.rpc.statuses import INTERNAL_ERROR, status_of
from honeywood.lab.soak.nodes import CTL
from honeywood.lab.soak.rules import Record

TENANTS, KEYS = 4, 12  # keys that a configuration may hold
TAKE_AWAY_SHARE = 0.2  # of keys in each change
TRIES = 60
PAUSE_S = 0.1


class SoakOperator:
    """Orders configurations from any controller that answers, one after the other."""

    def __init__(self, record: Record, controllers: list[str], chance: random.Random):
        self.record, self.controllers, self.chance = record, controllers, chance
        self.caller, self.version, self.known = Caller(), 0, ["none"]
        self.turn = asyncio.Lock()

    async def call(self, name: str, body: dict):
        """The answer to a call of the first controller that gives one, None where there is none."""
        for _ in range(TRIES):
            ip = self.chance.choice(self.controllers)
            try:
                return await self.caller.call(ip, CTL, f"/v1/rpc?call={name}", body, 1.0, idempotent=True)
            except GatewayError as error:
                if status_of(error) < INTERNAL_ERROR:
                    return None
            await asyncio.sleep(PAUSE_S)
        return None

    async def configure(self):
        """Orders the next configuration, and notes it once it is acknowledged."""
        async with self.turn:
            self.version += 1
            owners = self._draw_owners()
            for key, owner in owners.items():  # in force anywhere from now on
                self.record.owners[key].add(owner)
            found = await self.call("config.replace", configuration(self.version, owners))
            if found is not None:
                self.record.acknowledged = max(self.record.acknowledged, self.version)
                self.known = sorted(owners)

    def _draw_owners(self):
        """{key: the tenant that holds it}"""
        kept = [n for n in range(KEYS) if self.version == 1 or self.chance.random() > TAKE_AWAY_SHARE]
        return {f"key-{n}": f"tenant-{self.chance.randrange(TENANTS)}" for n in kept or [0]}

    async def read_back(self):
        """Reads the newest configuration."""
        found = await self.call("config.read", {})
        self.record.read_back = int(found["ver"], 16) if found is not None else None


def configuration(version: int, owners: dict[str, str]) -> dict:
    """Two routes to two services, and tenants by the owners of keys."""
    route = {"vhost": "soak.example", "timeout_s": 1.5, "target_s": 0.3, "prio": 1, "tries": 2}
    items = [
        {
            "type": "routes",
            "hdr": {"name": kind},
            "spec": {**route, "pfx": f"/{kind}/", "kind": kind, "svc": kind},
        }
        for kind in ("safe", "unsafe")
    ]
    service = {"hc_path": "/health", "max_conns": 200, "proto": "h1", "tls": False}
    items += [{"type": "svcs", "hdr": {"name": kind}, "spec": service} for kind in ("safe", "unsafe")]
    for tenant in sorted(set(owners.values())):
        keys = [key for key, owner in owners.items() if owner == tenant]
        items.append({"type": "tenants", "hdr": {"name": tenant}, "spec": {"apikeys": keys, "prio": 1}})
    return {"ver": f"{version:08x}", "res": items}
