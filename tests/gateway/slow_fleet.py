"""A fleet on slow links: 195 proxies in seven zones and five controllers, as on the largest deployments."""

import asyncio
import json
import random
from dataclasses import replace
from unittest.mock import patch

from timeline import World, config

from honeywood.gateway.dissemination.record import PATH
from honeywood.lab.emulator import world as emulator_world
from honeywood.lab.emulator.boot import BOUNDS

ZONE_SIZES = (26, 29, 31, 26, 31, 27, 25)
CONTROLLERS = tuple(f"core-{number}" for number in range(5))
PROXY_BYTES_PER_S, CONTROLLER_BYTES_PER_S = 250e3, 3.75e6  # 2 and 30 Mbit/s
HEAD_BYTES = 250  # of a request or response
APPLY_S, CONTACT_S = 3.0, 6.0  # `apply_s` and `contact_s` of the deployment
PACKED_ROUTE_BITS = 800  # of a prefix that doesn't compress, so that few routes make a long configuration


def large_config(version, routes):
    """A configuration whose packed text has 168 characters a route; versions differ in one route."""
    configuration = config(version, routes=routes)
    for number, entry in enumerate(configuration["res"][:-1]):
        entry["spec"]["pfx"] = f"/{random.Random(number).getrandbits(PACKED_ROUTE_BITS):x}/"
    configuration["res"][version % routes]["spec"]["timeout_s"] = 0.5
    return configuration


class SlowFleet(World):
    """A world whose links have a speed: polls and their responses take turns on them, in each direction.

    `acknowledged` has the time at which each version was acknowledged, `used` the times from which the latest
    process of each proxy used which version, and `started` when that process was started.
    """

    def __init__(self, seed=0):
        zones = {
            f"edge-{zone}-{number}": f"hall-{zone}"
            for zone, size in enumerate(ZONE_SIZES)
            for number in range(size)
        }
        bounds = {**BOUNDS, "contact_s": CONTACT_S, "ack_s": 8, "sync_s": 6, "apply_s": APPLY_S}
        super().__init__(CONTROLLERS, tuple(zones), seed, tolerated_failures=2, zones=zones, bounds=bounds)
        self.acknowledged, self.used, self.started, self.free_at = {}, {}, {}, {}

    def bytes_per_second(self, name):
        return CONTROLLER_BYTES_PER_S if name in self.controllers else PROXY_BYTES_PER_S

    def _make_program(self, name):
        def settings(*args, **kwargs):
            parsed = original(*args, **kwargs)
            return replace(parsed, link_bytes_per_s=self.bytes_per_second(name))

        original = emulator_world.settings
        with patch.object(emulator_world, "settings", settings):
            program = super()._make_program(name)
        if name not in self.controllers:
            versions, on_configuration = [], program.records.on_configuration
            self.used[name], self.started[name] = versions, self.loop.time()

            def record(activation):
                versions.append((self.loop.time(), program.configuration.version))
                on_configuration(activation)

            program.records.on_configuration = record
        return program

    def _transmission_s(self, source, target, size):
        """Queues bytes on both links; returns the seconds until the last one has arrived."""
        now, ends = self.loop.time(), ((source, "out"), (target, "in"))
        for end in ends:
            duration_s = (size + HEAD_BYTES) / self.bytes_per_second(end[0])
            self.free_at[end] = max(now, self.free_at.get(end, 0.0)) + duration_s
        return max(self.free_at[end] for end in ends) - now

    async def _deliver(self, message, response):
        if message.path != PATH or response is None:
            return await super()._deliver(message, response)
        source, target = message.source, message.target
        await asyncio.sleep(self._transmission_s(source, target, len(message.body)))
        answer = self.loop.create_future()
        await super()._deliver(message, answer)
        if response.done() or not answer.done():
            return
        if answer.exception() is not None:
            response.set_exception(answer.exception())
            return
        await asyncio.sleep(self._transmission_s(target, source, len(json.dumps(answer.result()))))
        if not response.done():
            response.set_result(answer.result())

    def order(self, name, version, routes):
        """Orders a version at a controller."""

        async def ask():
            timeout_s = self.bounds["ack_s"]
            body = large_config(version, routes)
            status, _ = await self.ask(name, "config.replace", body=body, timeout_s=timeout_s)
            if status == 200:
                self.acknowledged[version] = self.loop.time()

        self.loop.create_task(ask())

    def late(self):
        """(version, proxy, seconds since the acknowledgement, None if never) of each use that is late.

        A version must be in force APPLY_S after its acknowledgement, and CONTACT_S after the proxy's start.
        """
        found = []
        for version, acknowledged_at in self.acknowledged.items():
            for name, versions in self.used.items():
                used_at = next((at for at, used in versions if used >= version), None)
                if used_at is None:
                    found.append((version, name, None))
                elif used_at > max(acknowledged_at + APPLY_S, self.started[name] + CONTACT_S):
                    found.append((version, name, used_at - acknowledged_at))
        return found
