"""Rules of operators' orders: `acks`, `number`, `refused`, `reads`, `one end` and `kept`."""

import json
from collections import defaultdict
from dataclasses import dataclass

ACTIVE = "active"  # a rollout's state until it has an end
CONFLICT = 412  # the answer to another content under a number that is held
NO_VERSION = -1


@dataclass(frozen=True, slots=True)
class ConfigurationOrder:
    """A configuration under its number."""

    number: int
    text: str

    @classmethod
    def of(cls, number, body):
        """The order of a configuration as plain values."""
        return cls(number, json.dumps(body))

    def __str__(self):
        """What a breach says of it."""
        return f"configuration {self.number}"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """A rollout of a service to a version."""

    service: str
    version: str

    def __str__(self):
        """What a breach says of it."""
        return f"rollout of {self.service} to {self.version}"


class OrderRules:
    """Watches what operators send, what is confirmed to them and what they read."""

    def __init__(self, core):
        """`core` knows since when acknowledgements are owed."""
        self.core = core
        self.open = {}  # when each order that is owed an answer was sent
        self.confirmed = {}  # by number, then text: whether it was confirmed
        self.earlier = {}  # by rollout order: versions of its service confirmed before it was sent
        self.acknowledged_at = []  # (seconds, number) of configurations
        self.newest_sent, self.highest_shown = NO_VERSION, NO_VERSION
        self.shown = defaultdict(dict)  # {service: {version: state}}, as read or confirmed
        self.ends = {}  # {(service, version): state}, as first told

    def services(self):
        """The services of which rollouts were ordered."""
        return {order.service for order in self.earlier}

    def sent(self, now, order):
        """An order is sent for the first time. A rollout comes after those of its service that were confirmed
        before it was sent."""
        if isinstance(order, ConfigurationOrder):
            self.newest_sent = max(self.newest_sent, order.number)
            texts = self.confirmed.setdefault(order.number, {})
            if order.text not in texts:
                texts[order.text], self.open[order] = False, now
        elif order not in self.earlier:
            self.open[order] = now
            self.earlier[order] = {version for version, told in self.shown[order.service].items() if told}

    def dropped(self, order):
        """Nobody sends it any more."""
        self.open.pop(order, None)

    def refused(self, now, order, status):
        """An order is answered for good, and not taken."""
        self.open.pop(order, None)
        if isinstance(order, ConfigurationOrder) and status == CONFLICT:
            texts = self.confirmed[order.number]
            if len(texts) > 1 and not texts[order.text]:
                return
        self.core.breach("refused", now, f"{order} is answered {status}")

    def acknowledged(self, now, order):
        """An order is confirmed, the first time or again."""
        self.open.pop(order, None)
        if isinstance(order, RolloutOrder):
            self.shown[order.service].setdefault(order.version, ACTIVE)
            return
        self.acknowledged_at.append((now, order.number))
        self.highest_shown = max(self.highest_shown, order.number)
        texts = self.confirmed[order.number]
        texts[order.text] = True
        for other in texts:  # who lost is not owed an acknowledgement
            self.open.pop(ConfigurationOrder(order.number, other), None)
        if order.number >= self.newest_sent and sum(texts.values()) > 1:
            self.core.breach("number", now, f"two contents are confirmed under {order.number}")

    def newest_acknowledged(self, before):
        """The highest number acknowledged before a time, or None."""
        return max((number for at, number in self.acknowledged_at if at < before), default=None)

    def overdue(self, now):
        """A look at orders that should have been acknowledged."""
        calm = self.core.calm_since()
        for order, since in list(self.open.items()):
            if now - max(since, calm) > self.core.bounds["ack_s"]:
                self.core.breach("acks", now, f"{order}, sent at {since:.2f}, calm since {calm:.2f}")
                del self.open[order]

    def rollout_floor(self, service):
        """What a read of a rollout that begins now must show at least: states by version."""
        return dict(self.shown[service])

    def read(self, now, floor, number, text, where):
        """A configuration was read, None where there was said to be none; `floor` is `highest_shown` as it
        was when the read began."""
        number = NO_VERSION if number is None else number
        if number < floor:
            self.core.breach("reads", now, f"{where} shows {number} after {floor}")
        texts = [one for one, confirmed in self.confirmed.get(number, {}).items() if confirmed]
        if len(texts) == 1 and text != texts[0] and number == self.newest_sent:
            self.core.breach("reads", now, f"{where} shows another content under {number}")
        self.highest_shown = max(self.highest_shown, number)

    def read_rollout(self, now, floor, service, version, state, where):
        """A rollout was read; `version` is None where there was said to be none."""
        superseded = any(version in self.earlier[RolloutOrder(service, later)] for later in floor)
        missing = floor and version is None
        reopened = state == ACTIVE and floor.get(version, ACTIVE) != ACTIVE
        if superseded or missing or reopened:
            self.core.breach("reads", now, f"{where} shows {service} {version} {state} after {floor}")
        if version is not None:
            known = self.shown[service].get(version, ACTIVE)
            self.shown[service][version] = state if known == ACTIVE else known
            self._told(now, service, version, state)

    def _told(self, now, service, version, state):
        if state == ACTIVE:
            return
        ended = self.ends.setdefault((service, version), state)
        if ended != state:
            self.core.breach("one end", now, f"{service} {version}: {ended}, then {state}")

    def close(self, now, version):
        """A look at the version that was read back in the end, or None."""
        newest = max([number for _, number in self.acknowledged_at], default=None)
        if newest is not None and (version is None or version < newest):
            self.core.breach("kept", now, f"read back {version}, acknowledged {newest}")
