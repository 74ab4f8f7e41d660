"""Polls the other controllers for changes of their stores, with one task per controller.

Their responses prove contact.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from honeywood.gateway.controller.contacts import decode_disk_state
from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.chunks import ChunkAssembler
from honeywood.gateway.dissemination.messages import Requester
from honeywood.gateway.dissemination.subscriber import Subscriber
from honeywood.gateway.errors import CallFailed
from honeywood.gateway.periodic_tasks import TaskFinished

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable
    from random import Random

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.dissemination.publisher import Publisher
    from honeywood.gateway.register.replacement import DiskState
    from honeywood.gateway.rpc.client import Caller

LONG_POLL_S = 0.5  # seconds for which another controller holds a poll while it has no changes
BACKOFF_MAX_S = 0.5  # maximum seconds for which a controller that does not answer is not polled
POLL_INTERVAL_S = 0.05  # seconds between a response and the next poll


class PeerPolling:
    """The other controllers that are known, and the tasks that poll them."""

    def __init__(
        self,
        settings: Settings,
        publisher: Publisher,
        caller: Caller,
        random: Random,
        contacts: Contacts,
        local_disk: Callable[[], DiskState],
        clock: Callable[[], float],
        start_task: Callable[[Callable[[], Awaitable[None]], float], None],
    ) -> None:
        """Start with the seeds as the known controllers.

        `local_disk()` returns the state of this controller's disk; `start_task(step, interval_s)` starts a
        task that runs `step` repeatedly. `clock` returns monotonic seconds.
        """
        self.settings, self.contacts, self.local_disk = settings, contacts, local_disk
        self.clock, self.start_task = clock, start_task
        self.subscriber = Subscriber(
            publisher.store,
            ChunkAssembler(publisher.store.large_records.restore),
            caller,
            self._requester,
            Backoff(random, BACKOFF_MAX_S),
            lambda: publisher.max_response_bytes,
        )
        self.addresses = [ip for ip, _ in settings.seeds]  # of all known controllers, including this one
        self.polled: set[str] = set()  # the addresses that have a polling task

    def discover(self, addresses: Iterable[str]) -> None:
        """Add controllers: if there are more than three, no program has all of them as seeds."""
        self.addresses += [ip for ip in addresses if ip not in self.addresses]

    def forget_others(self, known: set[str]) -> None:
        """Stop polling controllers that are neither in `known` nor seeds."""
        known = known | {ip for ip, _ in self.settings.seeds}
        for ip in set(self.addresses) - known:
            self.addresses = [one for one in self.addresses if one != ip]
            self.subscriber.forget(ip)
            self.contacts.forget(ip)

    def _requester(self) -> Requester:
        """Return the description of this controller that its polls contain."""
        return Requester(
            self.settings.node,
            self.settings.ip,
            is_controller=True,
            echo_stamps=self.contacts.stamps_to_echo(),
            disk=self.local_disk().value,
        )

    def start(self) -> None:
        """Start polling each known controller that isn't polled yet."""
        for ip in self.addresses:
            if ip != self.settings.ip and ip not in self.polled:
                self._start_polling(ip)

    def _start_polling(self, ip: str) -> None:
        async def poll_peer() -> None:
            await self.poll(ip)

        self.polled.add(ip)
        self.start_task(poll_peer, POLL_INTERVAL_S)

    async def poll(self, ip: str) -> None:
        """Poll a controller once, and back off if it does not answer.

        Raises TaskFinished once that controller is no longer known.
        """
        if ip not in self.addresses:
            self.polled.discard(ip)
            raise TaskFinished
        sent_at = self.clock()  # before the poll: its response may wait unread while this process is stalled
        with suppress(CallFailed):
            response = await self.subscriber.poll(ip, self.settings.controller_port, LONG_POLL_S)
            disk = decode_disk_state(response.disk)
            self.contacts.record_response(ip, sent_at, response.is_complete, response.echo_stamp, disk)
        backoff_s = self.subscriber.backoff.remaining_s(ip, self.clock())
        await asyncio.sleep(min(BACKOFF_MAX_S, backoff_s))

    async def ask_disk_state(self, ip: str) -> DiskState:
        """Return the state of a controller's disk as it is now; raises CallFailed."""
        sent_at = self.clock()
        response = await self.subscriber.poll(ip, self.settings.controller_port, 0.0)
        disk = decode_disk_state(response.disk)
        self.contacts.record_response(ip, sent_at, response.is_complete, response.echo_stamp, disk)
        return disk

    async def poll_all(self) -> bool:
        """Poll all other controllers now; return whether enough of them sent everything they know."""
        others = [ip for ip in self.addresses if ip != self.settings.ip]
        complete = await asyncio.gather(*[self._poll_completely(ip) for ip in others])
        return self.contacts.forms_quorum(ip for ip, done in zip(others, complete, strict=True) if done)

    async def _poll_completely(self, ip: str) -> bool:
        try:
            response = await self.subscriber.poll(ip, self.settings.controller_port, 0.0)
        except CallFailed:
            return False
        return response.is_complete
