"""Polling the other controllers for what they know: a loop for each. Their answers show contact."""

import asyncio
from contextlib import suppress

from honeywood.gateway.controller.contact import disk_state
from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.chunks import ChunkAssembler
from honeywood.gateway.dissemination.messages import Requester
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.errors import CallFailed

HOLD_S = 0.5  # seconds that another controller holds a poll while there is nothing new
BACKOFF_S = 0.5  # seconds at most for which a controller that doesn't answer isn't polled
PAUSE_S = 0.05  # seconds between an answer and the next poll


class PeerPolling:
    """`addresses` are those of all controllers that are known, this one's too; `polled` those with a loop.
    `local_disk()` gives the state of this one's disk, `start_loop(step, every)` runs a step again and
    again."""

    def __init__(self, settings, publisher, caller, random, contacts, local_disk, clock, start_loop):
        """The seeds are known."""
        self.settings, self.contacts, self.local_disk = settings, contacts, local_disk
        self.clock, self.start_loop = clock, start_loop
        self.subscriber = Subscriber(
            publisher.store,
            ChunkAssembler(),
            caller,
            self._requester,
            Backoff(random, BACKOFF_S),
            lambda: publisher.max_response_bytes,
        )
        self.addresses, self.polled = [ip for ip, _ in settings.seeds], set()

    def discover(self, addresses):
        """Controllers that are told of: of more than three not all are among the seeds of each."""
        self.addresses += [ip for ip in addresses if ip not in self.addresses]

    def forget_others(self, known):
        """Polls no more whoever is neither `known` nor a seed."""
        known = known | {ip for ip, _ in self.settings.seeds}
        for ip in set(self.addresses) - known:
            self.addresses = [one for one in self.addresses if one != ip]
            self.subscriber.forget(ip)
            self.contacts.forget(ip)

    def _requester(self):
        s = self.settings
        stamps, disk = self.contacts.stamps(), self.local_disk().value
        return Requester(s.node, s.ip, is_controller=True, echo_stamps=stamps, disk=disk)

    def start(self):
        """Begins to poll each controller that is known and isn't polled yet."""
        for ip in self.addresses:
            if ip != self.settings.ip and ip not in self.polled:
                self.polled.add(ip)
                self.start_loop(lambda ip=ip: self.poll(ip), PAUSE_S)

    async def poll(self, ip):
        """One poll, and the pause that follows where nobody answers; for as long as that one is known."""
        if ip not in self.addresses:
            self.polled.discard(ip)
            raise asyncio.CancelledError  # ends the loop that this is a turn of
        asked_at = self.clock()  # an answer may lie here unread while this process is frozen
        with suppress(CallFailed):  # the subscriber's backoff says when the next poll may follow
            response = await self.subscriber.poll(ip, self.settings.controller_port, HOLD_S)
            disk = disk_state(response.disk)
            self.contacts.answered(ip, asked_at, response.is_complete, response.echo_stamp, disk)
        await asyncio.sleep(min(BACKOFF_S, self.subscriber.backoff.remaining_s(ip, self.clock())))

    async def poll_all(self):
        """Polls all other controllers for what they know now; whether enough told all of it."""
        others = [ip for ip in self.addresses if ip != self.settings.ip]
        complete = await asyncio.gather(*[self._tells_all(ip) for ip in others])
        return self.contacts.is_enough(ip for ip, told in zip(others, complete) if told)

    async def _tells_all(self, ip):
        try:
            response = await self.subscriber.poll(ip, self.settings.controller_port, 0.0)
        except CallFailed:
            return False
        return response.is_complete
