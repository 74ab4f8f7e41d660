"""The operator of a soak test, who adds and removes API keys and moves them between tenants."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.rpc.client import Caller
from honeywood.gateway.rpc.statuses import INTERNAL_ERROR, status_of
from honeywood.lab.soak.cluster import CONTROL_PORT
from honeywood.lab.soak.record import Record

if TYPE_CHECKING:
    from honeywood.gateway.rpc.client import JsonObject

TENANTS = 4
MAX_KEYS = 12
REMOVED_SHARE = 0.2
"""Of the keys, in each configuration after the first."""
IDLE_RANGE_S = 0.2, 2.0
"""The range of the time after which proxies close an idle connection of a client."""
MAX_ATTEMPTS = 60
RETRY_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0
UNKNOWN_KEY = "none"  # sent by clients before the first configuration is acknowledged


class OperatorClient:
    """Calls any available controller; `known_keys` are the keys of the last acknowledged configuration."""

    def __init__(self, record: Record, controllers: list[str], random: random.Random) -> None:
        """Record in `record` the configurations that were sent, acknowledged and read back."""
        self.known_keys = [UNKNOWN_KEY]
        self._record = record
        self._controllers = controllers
        self._random = random
        self._caller = Caller()
        self._version = 0
        self._replace_lock = asyncio.Lock()

    async def call(self, name: str, body: JsonObject) -> JsonObject | None:
        """Return the first response; None if a controller rejects the call, or if none responds."""
        path = f"/v1/rpc?call={name}"
        for _ in range(MAX_ATTEMPTS):
            ip = self._random.choice(self._controllers)
            try:
                return await self._caller.call(ip, CONTROL_PORT, path, body, CALL_TIMEOUT_S, idempotent=True)
            except GatewayError as error:
                if status_of(error) < INTERNAL_ERROR:
                    return None
            await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def replace_configuration(self) -> None:
        """Send the next configuration, and record its version once it is acknowledged."""
        async with self._replace_lock:
            self._version += 1
            owners = self._draw_owners()
            for key, owner in owners.items():  # any process may apply it from now on
                self._record.owners[key].add(owner)
            limits = self._draw_limits()
            response = await self.call("config.replace", configuration(self._version, owners, limits))
            if response is not None:
                self._record.acknowledged_version = max(self._record.acknowledged_version, self._version)
                self.known_keys = sorted(owners)

    def _draw_owners(self) -> dict[str, str]:
        """Return the tenant that owns each key."""
        kept = [
            number
            for number in range(MAX_KEYS)
            if self._version == 1 or self._random.random() > REMOVED_SHARE
        ]
        return {f"key-{number}": f"tenant-{self._random.randrange(TENANTS)}" for number in kept or [0]}

    def _draw_limits(self) -> JsonObject:
        """Return the limits on clients; the time-outs change with each configuration."""
        idle_s = self._random.uniform(*IDLE_RANGE_S)
        return {"hdr_bytes": 16384, "body_bytes": 1 << 26, "hdr_s": 3, "idle_s": idle_s}

    async def read_back(self) -> None:
        """Read the newest configuration and record its version."""
        response = await self.call("config.read", {})
        self._record.read_back_version = int(response["ver"], 16) if response is not None else None


def configuration(version: int, owners: dict[str, str], limits: JsonObject) -> JsonObject:
    """Return a configuration with two routes to two services, and the tenants that own the given keys."""
    kinds = ("safe", "unsafe")
    items = [_route(kind) for kind in kinds]
    items += [_service(kind) for kind in kinds]
    items += [_tenant(tenant, owners) for tenant in sorted(set(owners.values()))]
    items.append({"type": "limits", "hdr": {}, "spec": limits})
    return {"ver": f"{version:08x}", "res": items}


def _route(kind: str) -> JsonObject:
    spec = {
        **{"timeout_s": 1.5, "target_s": 0.3, "prio": 1, "tries": 2},
        **{"vhost": "soak.example", "pfx": f"/{kind}/", "kind": kind, "svc": kind},
    }
    return {"type": "routes", "hdr": {"name": kind}, "spec": spec}


def _service(name: str) -> JsonObject:
    spec = {"hc_path": "/health", "max_conns": 200, "proto": "h1", "tls": False}
    return {"type": "svcs", "hdr": {"name": name}, "spec": spec}


def _tenant(name: str, owners: dict[str, str]) -> JsonObject:
    keys = [key for key, owner in owners.items() if owner == name]
    return {"type": "tenants", "hdr": {"name": name}, "spec": {"apikeys": keys, "prio": 1}}
