"""The configuration that this disk goes by, and how it takes over the next one. The rules are in
membership.py."""

import asyncio

from honeywood.gateway.register import membership as members
from honeywood.gateway.register.storage import MEMBERS


class Epochs:
    """`here` is the configuration this disk goes by, `newer` one further on that was told, `sound` whether
    the disk holds all that it ever told others; `lock` orders what is written."""

    def __init__(self, settings, storage, log):
        self.settings, self.storage, self.log = settings, storage, log
        self.here = self.newer = None
        self.sound, self.lock = False, asyncio.Lock()

    @property
    def members(self):
        """The addresses of the members of this epoch."""
        return self.here["members"] if self.here else []

    @property
    def epoch(self):
        """The number of this epoch."""
        return self.here["epoch"] if self.here else members.START

    @property
    def founded(self):
        """Whether this disk takes part in an epoch whose members were agreed on."""
        return self.sound and self.epoch > members.START

    @property
    def settled(self):
        """Whether this disk is where it belongs: it counts, or is known not to."""
        return self.founded and not self.here["next"] and not self.newer

    @property
    def counts(self):
        """Whether this disk takes steps of its epoch, as far as it knows the newest one: one that refuses to
        write down what follows is out of it all the same."""
        return self.sound and not self.newer and members.takes(self.here, self.settings.ip, self.epoch)

    @property
    def newest(self):
        """The newest configuration that this disk has agreed to."""
        return (self.here and self.here["next"]) or {"epoch": self.epoch, "members": self.members}

    def note(self, told):
        """Remembers the newest configuration that is told, if this disk is not there yet."""
        known = max(self.epoch, self.here["next"]["epoch"] if self.here and self.here["next"] else 0)
        if told["epoch"] > max(known, self.newer["epoch"] if self.newer else members.START):
            self.newer = {"epoch": told["epoch"], "members": told["members"]}

    async def follow(self, following):
        """Takes over an agreed configuration: it is entered at once where nothing was before, else this disk
        takes no more steps of its epoch; one further on is noted."""
        async with self.lock:
            first = self.epoch == members.START and following["epoch"] == members.START + 1
            if self.sound and first:
                await self.enter(members.entered(following))
            elif self.sound and (sealed := members.sealed(self.here, following)):
                await self.storage.keep({MEMBERS: sealed})
                self.here = sealed
                self._arrived(following["epoch"])
            self.note(following)

    def _arrived(self, epoch):
        if self.newer and self.newer["epoch"] <= epoch:
            self.newer = None

    async def enter(self, here, rows=(), **beside):
        """Puts a configuration and its rows on this disk, which counts from then on. The lock is held."""
        await self.storage.keep({**dict(rows), **beside, MEMBERS: here})
        self.here, self.sound = here, True
        self._arrived(here["epoch"])
        self.log.info(
            "entered", epoch=here["epoch"], members=here["members"], counts=self.counts, rows=len(rows)
        )
