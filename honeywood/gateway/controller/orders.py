"""What operators read and order. Every answer rests on a round or read of the register that began after the
call came, so on a majority just then; without one it is a 503, which sends the caller on to another
controller. Only what can't be read is refused without asking."""

import asyncio

from honeywood.gateway.configuration import packing
from honeywood.gateway.configuration import record as configuration_record
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.configuration.record import OrderOutcome
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.errors import InvalidInput, NotFound, Unavailable, VersionConflict
from honeywood.gateway.register.errors import RegisterUnavailable
from honeywood.gateway.rollout import record, transitions
from honeywood.gateway.routing.endpoints import DRAINING, READY

CONFIG, ROLLOUT = RecordKind.CONFIGURATION.value, RecordKind.ROLLOUT.prefix  # keys of the register
FRESH = 1.0  # seconds after which whoever sent an order has gone on; what is older begins nothing
TICK, FROZEN = 0.1, 0.5  # seconds between looks at the clock; a gap that is taken for a freeze
AGAIN = 1.0  # seconds besides `ack_s` in which an order may arrive once more: its last try may take so long
# seconds that an order for a version that was sent back waits for its caller's end: of bytes held up in a cut
# the end of a caller who gave up comes right behind
LINGER = 0.25
READ, ROLLOUT_READ, REPLACE, START = "config.read", "rollouts.read", "config.replace", "rollouts.start"


class Orders:
    """The operators' calls of one controller: `publish` tells all of what a majority's disks hold."""

    def __init__(self, controller):
        self.register, self.publish, self.say = controller.register, controller.publish, controller.say
        self.controller, self.clock = controller, controller.clock
        self.ticked, self.thawed = self.clock(), self.clock() - FRESH

    async def tick(self):
        now = self.clock()
        if now - self.ticked > FROZEN:
            self.thawed = now
            self.say("frozen", gap_s=round(now - self.ticked, 1))
        self.ticked = now

    @property
    def late(self):
        """Whether what comes now may have lain unread: this process stood still until just now."""
        now = self.clock()
        return now - self.ticked > FROZEN or now - self.thawed < FRESH

    async def _read(self, step, key, peer):
        try:
            value = await self.register.read(key)
        except RegisterUnavailable as error:
            raise Unavailable(step, error.reason, peer) from None
        self.publish(key, value)
        return value

    async def _change(self, step, key, change, peer):
        try:
            value = await self.register.change(key, change)
        except RegisterUnavailable as error:
            raise Unavailable(step, error.reason, peer) from None
        self.publish(key, value)
        return value

    async def configuration(self, peer):
        """The newest configuration, packed; 404 where a majority holds none."""
        value = await self._read(READ, CONFIG, peer)
        if value is None:
            raise NotFound(READ, "none yet", peer)
        return configuration_record.decode(value).text

    async def replace(self, version, raw, peer):
        """(outcome, version held) of an order; 412 where its number stands for another content."""
        digest = configuration_record.content_digest(raw)
        told, found, current = self.controller.store.stamp(CONFIG), None, None
        if told is not None and told[0] >= version:  # likely a copy: a read is cheaper than a round
            value = await self._read(REPLACE, CONFIG, peer)
            current = None if value is None else configuration_record.decode(value)
            found = configuration_record.order_outcome(current, version, digest)
        if found is None:
            order = version, packing.pack(raw), digest
            value = await self._change(
                REPLACE, CONFIG, lambda value: configuration_record.update_stored(value, *order), peer
            )
            current = configuration_record.decode(value)
            found = configuration_record.order_outcome(current, version, digest)
        if found is not OrderOutcome.ACCEPTED:
            self.say(found.value, ordered=f"{version:08x}", held=f"{current.version:08x}", digest=digest)
        if found is OrderOutcome.CONFLICT:
            why = f"{version:08x} stands for another content; take a higher one"
            raise VersionConflict(REPLACE, why, peer)
        return found, current.version

    async def order(self, svc, to_ver, over_s, peer, left=lambda: False):
        """The Rollout once it has begun, or that in which this order was taken before. `left` tells whether
        the caller has gone: nothing is begun for one who has."""
        came = self.clock()
        if self.late:
            raise Unavailable(START, "this controller stood still; the order may be an old one", peer)
        held = await self._orderable(svc, peer)
        alone = await self._agreed_alone(svc, to_ver, peer)
        if transitions.was_reverted(held, to_ver):
            await asyncio.sleep(LINGER)

        def begun(held):
            if left():
                raise Unavailable(START, "its caller has left", peer)
            if self.clock() - came > FRESH:
                raise Unavailable(START, "too late; it is no longer waited for", peer)
            since_s = 0.0 if held is None else self.controller.rollouts.since(held)
            still_alone = alone and self._alone(svc, to_ver)
            again_s = self.controller.settings.bounds.ack_s + AGAIN
            return transitions.start_rollout(held, svc, to_ver, over_s, since_s, again_s, still_alone)

        change = lambda value: transitions.update_stored(value, begun)  # noqa: E731
        rollout = record.decode(await self._change(START, ROLLOUT + svc, change, peer))
        told = {"svc": svc, "to_ver": to_ver, "over_s": over_s}
        self.say("rollout ordered", **told, n=rollout.revision, state=rollout.state)
        return rollout

    async def _orderable(self, svc, peer):
        """The rollout that is held of a service, or None; refuses a service that no configuration names."""
        configuration, value = await asyncio.gather(
            self._read(START, CONFIG, peer), self._read(START, ROLLOUT + svc, peer)
        )
        if configuration is not None:
            raw = packing.unpack(configuration_record.decode(configuration).text)
            if svc not in read_configuration(raw).services:
                raise InvalidInput(START, f"svc {svc!r} is not known", peer)
        return None if value is None else record.decode(value)

    def _alone(self, svc, ver):
        """Whether all machines of the service that are known here to be in service are of that version."""
        machines = (value for _, value in self.controller.store.items_of(RecordKind.MACHINE))
        vers = {m["ver"] for m in machines if m["state"] in (READY, DRAINING) and m["svc"] == svc}
        return vers == {ver}

    async def _agreed_alone(self, svc, ver, peer):
        """The same by all that enough controllers know, asked since the order came: of such an order the
        operator is told that it is done, and stops what is of another version."""
        if not self._alone(svc, ver):
            return False
        if not await self.controller.hear_others():
            raise Unavailable(START, "too few other controllers told which machines they know", peer)
        return self._alone(svc, ver)

    async def rollout(self, svc, peer):
        """The Rollout of a service; 404 where a majority holds none."""
        value = await self._read(ROLLOUT_READ, ROLLOUT + svc, peer)
        if value is None:
            raise NotFound(ROLLOUT_READ, f"no rollout of {svc!r}", peer)
        return record.decode(value)
