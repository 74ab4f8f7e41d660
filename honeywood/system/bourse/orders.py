"""What operators read and order. Every answer rests on a round or read of the register that began after the
call came, so on a majority just then; without one it is a 503, which sends the caller on to another bourse.
Only what can't be read is refused without asking."""

from honeywood.system.scales import record as rollouts
from honeywood.system.terms import config, held
from honeywood.system.terms.outcome import Wrong

CONFIG, ROLLOUT = "config", "rollout/"  # keys of the register
READ, ROLLOUT_READ, REPLACE, START = "config.read", "rollouts.read", "config.replace", "rollouts.start"


class Orders:
    """The operators' calls of one bourse: `publish` tells all of what a majority's disks hold."""

    def __init__(self, bourse):
        self.register, self.publish, self.say = bourse.register, bourse.publish, bourse.say
        self.bourse = bourse

    async def _read(self, step, key, peer):
        found = await self.register.read(key)
        if not found.ok:
            raise Wrong(step, found.why, peer, 503)
        self.publish(key, found.value)
        return found.value

    async def _change(self, step, key, change, peer):
        found = await self.register.change(key, change)
        if not found.ok:
            raise Wrong(step, found.why, peer, 503)
        self.publish(key, found.value)
        return found.value

    async def configuration(self, peer):
        """The newest configuration, packed; 404 where a majority holds none."""
        value = await self._read(READ, CONFIG, peer)
        if value is None:
            raise Wrong(READ, "none yet", peer, 404)
        return value["text"]

    async def replace(self, version, raw, peer):
        """(outcome, version held) of an order; 412 where its number stands for another content."""
        mark, text = held.digest(raw), config.pack(raw)
        told, found, value = self.bourse.board.notes.get(CONFIG), None, None
        if told is not None and told[0][0] >= version:  # likely a copy: a read is cheaper than a round
            value = await self._read(REPLACE, CONFIG, peer)
            found = held.outcome(value, version, mark)
        if found is None:
            value = await self._change(
                REPLACE, CONFIG, lambda value: held.ordered(value, version, text, mark), peer
            )
            found = held.outcome(value, version, mark)
        if found != held.TAKEN:
            self.say(found, ordered=f"{version:08x}", held=f"{value['ver']:08x}", digest=mark)
        if found == held.OTHER:
            raise Wrong(REPLACE, f"{version:08x} stands for another content; take a higher one", peer, 412)
        return found, value["ver"]

    async def order(self, svc, to_ver, over_s, peer):
        """Begins a rollout, or finds that this order was taken before."""
        value = await self._read(START, CONFIG, peer)
        if value is not None and svc not in config.read(config.unpack(value["text"])).services:
            raise Wrong(START, f"svc {svc!r} is not known", peer)
        await self._change(
            START,
            ROLLOUT + svc,
            lambda value: rollouts.start(value, svc, to_ver, over_s, self.bourse.wall()),
            peer,
        )
        self.say("rollout ordered", svc=svc, to_ver=to_ver, over_s=over_s)

    async def rollout(self, svc, peer):
        """The record of the service's rollout; 404 where a majority holds none."""
        value = await self._read(ROLLOUT_READ, ROLLOUT + svc, peer)
        if value is None:
            raise Wrong(ROLLOUT_READ, f"no rollout of {svc!r}", peer, 404)
        return value
