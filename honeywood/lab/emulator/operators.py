"""Operators: orders that are sent until they are answered, and reads all day at any controller."""

import asyncio
import json

from honeywood.lab.emulator.boot import AIM_S, DEADLINE_S
from honeywood.lab.emulator.machines import LEFT
from honeywood.lab.emulator.rules import ConfigurationOrder, RolloutOrder

LATER_ROUTES = 20  # that versions add one by one; a higher version has all routes of the lower ones
READ_S = 0.3  # seconds between an operator's reads, about
ORDER_S = 60.0  # that a configuration is sent for, until it is answered
LONGEST_PAUSE_S, PAUSE_S = 0.5, 0.05  # between two tries of an order; the pause grows by one PAUSE_S each
POLL_S = 0.25  # seconds between two looks at a rollout
NOT_FOUND = 404


class Operators:
    """All that operators do in a day."""

    def __init__(self, world, chance):
        """`chance` draws controllers, pauses and lost answers."""
        self.world, self.chance = world, chance
        self.orders, self.now = world.monitor.orders, world.loop.time
        self.version, self.unheard = 1, 0.0  # the highest number sent; the share of answers that are lost
        self.brought = []  # numbers of configurations that bring a service

    def any_controller(self):
        """A controller by chance."""
        return self.chance.choice(self.world.controllers)

    def configuration(self, version, mark=""):
        """Routes of both kinds, one more with each version up to LATER_ROUTES, and the services that this
        version and earlier ones brought; `mark` makes another content."""
        routes = [("r", "s", "safe"), ("w", "u", "unsafe")]
        routes += [(f"t{number}", "s", "safe") for number in range(min(version, LATER_ROUTES))]
        routes += [(f"n{number}{mark}", f"n{number}", "safe") for number in self.brought if number <= version]
        routes += [(f"m{mark}", "s", "safe")] if mark else []
        resources = [_route(name, service, kind) for name, service, kind in routes]
        resources += [_service(name) for name in sorted({service for _, service, _ in routes})]
        return {"ver": f"{version:08x}", "res": resources}

    def next_version(self, step=1):
        """A number above all that were sent."""
        self.version += step
        return self.version

    async def order(self, order, call, body, for_s, copies=1):
        """Sends an order until it is answered for good, or for `for_s` seconds, `copies` of it at once to any
        controllers; of answers the share `unheard` is lost. Whether it was confirmed."""
        begun = self.now()
        self.orders.sent(begun, order)
        sent = [self._send(order, call, body, begun + for_s) for _ in range(copies)]
        confirmed = any(await asyncio.gather(*sent))
        if not confirmed:
            await asyncio.sleep(max(0.0, begun + self.world.bounds["ack_s"] + 0.1 - self.now()))
            self.orders.dropped(order)
        return confirmed

    async def _send(self, order, call, body, until):
        turn = 0
        while self.now() < until:
            status, _ = await self.world.ask(self.any_controller(), call, "", body)
            if status and self.chance.random() < self.unheard:
                status = 0
            if status == 200:
                self.orders.acknowledged(self.now(), order)
                return True
            if 400 <= status < 500:
                self.orders.refused(self.now(), order, status)
                return False
            turn += 1
            await asyncio.sleep(min(LONGEST_PAUSE_S, PAUSE_S * turn) * (0.5 + self.chance.random()))
        return False

    async def send_once(self, order, call, body, controller):
        """Sends an order once, to one controller."""
        self.orders.sent(self.now(), order)
        status, _ = await self.world.ask(controller, call, "", body)
        if status == 200:
            self.orders.acknowledged(self.now(), order)
        elif 400 <= status < 500:
            self.orders.refused(self.now(), order, status)
        else:
            self.orders.dropped(order)

    async def configure(self, version, mark="", copies=1, for_s=ORDER_S):
        """Orders a configuration; whether it was confirmed."""
        body = self.configuration(version, mark)
        order = ConfigurationOrder.of(version, body)
        return await self.order(order, "config.replace", body, for_s, copies)

    async def start_rollout(self, service, version, over_s, copies=1, for_s=None):
        """Orders a rollout; whether it was confirmed."""
        body = {"svc": service, "to_ver": version, "over_s": over_s}
        for_s = self.world.bounds["ack_s"] - 1.0 if for_s is None else for_s
        return await self.order(RolloutOrder(service, version), "rollouts.start", body, for_s, copies)

    async def changing(self, until):
        """One change after the other, in uneven steps, all day."""
        day = self.world.day
        every_s = (day.seconds - 1.0) / day.changes
        for _ in range(day.changes):
            await asyncio.sleep(every_s * (0.5 + self.chance.random()))
            if self.now() > until:
                return
            await self.configure(self.next_version(self.chance.randrange(1, 4)))

    async def reading(self):
        """Reads at any controller, all day."""
        while True:
            await asyncio.sleep(READ_S * 2 * self.chance.random())
            self.world.loop.create_task(self.read(self.any_controller()))
            service = self.chance.choice(sorted(self.orders.services() | {"s"}))
            self.world.loop.create_task(self.read_state(self.any_controller(), service))

    async def read(self, name):
        """The status, once a controller was asked what configuration holds."""
        floor = self.orders.highest_shown
        status, text = await self.world.ask(name, "config.read")
        if status in (200, NOT_FOUND):
            number = int(json.loads(text)["ver"], 16) if status == 200 else None
            content = text.decode() if status == 200 else None
            self.orders.read(self.now(), floor, number, content, name)
        return status

    async def read_state(self, name, service):
        """(version, state) of a rollout as one controller tells it, or None."""
        floor = self.orders.rollout_floor(service)
        status, found = await self.world.ask(name, "rollouts.read", service)
        if status not in (200, NOT_FOUND):
            return None
        version, state = (found["to_ver"], found["state"]) if status == 200 else (None, None)
        self.orders.read_rollout(self.now(), floor, service, version, state, name)
        return version, state

    async def rollout(self, service, version, over_s, wrong, copies=1):
        """Machines of a version beside the old ones, the order, and what follows from what is told; `wrong`
        is what is wrong with its machines."""
        old = self.world.machines.alive(service)
        new = [self.world.fleet.start(service, ver=version, **wrong) for _ in old]
        self.world.monitor.trials.ordered(self.now(), service, version, bool(wrong))
        await self.start_rollout(service, version, over_s, copies)
        state = "active"
        while state == "active":
            await asyncio.sleep(POLL_S)
            told = await self.read_state(self.any_controller(), service)
            if told is not None and told[0] == version:
                state = told[1]
        for machine in old if state == "done" else ():
            machine.crash(LEFT)
        for machine in new if state == "reverted" else ():
            self.world.loop.create_task(self.world.fleet.drain(machine))


def _route(name, service, kind):
    spec = {
        "vhost": "h",
        "pfx": f"/{name}/",
        "kind": kind,
        "timeout_s": DEADLINE_S,
        "target_s": AIM_S,
        "prio": 0,
        "svc": service,
        "tries": 2,
    }
    return {"type": "routes", "hdr": {"name": name}, "spec": spec}


def _service(name):
    spec = {"hc_path": "/h", "max_conns": 40, "proto": "h1", "tls": False}
    return {"type": "svcs", "hdr": {"name": name}, "spec": spec}
