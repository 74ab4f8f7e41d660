"""Waiting until enough other controllers have heard what the store says, before it is acknowledged."""

import asyncio

from honeywood.gateway.errors import Unavailable

WITHIN_S = 0.8  # seconds in which enough others must have heard


class Replication:
    """`notify` is to be called whenever another controller may have heard more."""

    def __init__(self, store, contacts, clock):
        """Nobody waits."""
        self.store, self.contacts, self.clock, self._waiting = store, contacts, clock, []

    def notify(self):
        """Has those who wait look again."""
        for heard in self._waiting:
            heard.set()

    async def wait(self):
        """Ends when enough others have all that the store says now; raises errors.GatewayError otherwise."""
        revision, until, heard = self.store.revision, self.clock() + WITHIN_S, asyncio.Event()
        self._waiting.append(heard)
        try:
            while not self.contacts.have_heard(revision):
                heard.clear()
                async with asyncio.timeout(until - self.clock()):
                    await heard.wait()
        except TimeoutError:
            raise Unavailable("instances", "too few other controllers heard it in time") from None
        finally:
            self._waiting.remove(heard)
