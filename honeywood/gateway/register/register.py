"""The register of one controller, assembled from its disk and its calls to the other controllers.

Its components: acceptor_service.py serves other controllers, proposer.py changes keys, reader.py reads them,
and membership_manager.py keeps the disk in the newest epoch.
"""

from __future__ import annotations

from honeywood.gateway.register.acceptor_service import AcceptorService
from honeywood.gateway.register.errors import DiskLost, NotBootstrapped
from honeywood.gateway.register.membership_manager import MembershipManager
from honeywood.gateway.register.membership_state import MembershipState
from honeywood.gateway.register.message_fields import PATH
from honeywood.gateway.register.peer_client import PeerClient
from honeywood.gateway.register.persistent_state import PersistentState
from honeywood.gateway.register.proposer import Proposer
from honeywood.gateway.register.reader import Reader
from honeywood.gateway.register.requests import decode_request, encode_reply
from honeywood.gateway.register.state_transfer import StateTransfer
from honeywood.gateway.register.state_update import StateUpdate
from honeywood.gateway.register.value_lookup import ValueLookup
from honeywood.gateway.register.value_store import ValueStore
from honeywood.gateway.register.value_transfer import ValueTransfer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.paged_caller import PagedCaller
    from honeywood.gateway.register.persistent_state import Store
    from honeywood.gateway.register.state_update import HeartbeatRecord


class Register:
    """The replicated register as one controller uses it.

    `membership` has the epoch of this disk, `state` has the stored state, and `manager` opens the disk and
    keeps it in the newest epoch. Of 2 f + 1 members f may fail at once, where f is
    `settings.tolerated_failures`.
    """

    def __init__(
        self,
        settings: Settings,
        caller: PagedCaller,
        random: Random,
        log: EventLog,
        open_store: Callable[[str], Store],
    ) -> None:
        """`open_store` opens the store in the settings' data directory."""
        self._local_ip = settings.ip
        self.state = PersistentState(settings, open_store, log)
        self.membership = MembershipState(self.state, log)
        self.lookup = ValueLookup(self.state, ValueStore())
        self.acceptor = AcceptorService(self.state, self.membership, self.lookup)
        peers = PeerClient(settings, caller, self.membership, self.acceptor.serve)
        values = ValueTransfer(self.lookup, peers.call)
        self.proposer = Proposer(settings, random, self.membership, self.state, self.lookup, peers, values)
        self._reader = Reader(self.membership, self.state, peers, self.proposer, values)
        transfer = StateTransfer(self.state, self.membership, peers, values)
        self.manager = MembershipManager(
            settings, log, self.state, self.membership, peers, self.proposer, transfer
        )

    async def serve(self, body: dict[str, JsonValue], peer: str) -> dict[str, JsonValue]:
        """Return the reply to another controller's request, both as JSON objects.

        Raises InvalidMessage if the request is invalid, and DiskUnavailable if the disk can't be used.
        """
        return encode_reply(await self.acceptor.serve(decode_request(body, peer), peer))

    async def change(self, key: str, update: Callable[[JsonValue], JsonValue]) -> JsonValue:
        """Apply `update` to the value of `key`; return the value that was accepted (see Proposer.change)."""
        self._require_bootstrapped()
        return await self.proposer.change(key, update)

    async def read(self, key: str) -> JsonValue:
        """Return the value of `key` that a majority has accepted (see Reader.read)."""
        self._require_bootstrapped()
        return await self._reader.read(key)

    async def read_all(self) -> dict[str, JsonValue]:
        """Return all values that a majority has accepted, by key (see Reader.read_all)."""
        self.lookup.discard_expired()
        self._require_bootstrapped()
        return await self._reader.read_all()

    def _require_bootstrapped(self) -> None:
        if not self.membership.is_bootstrapped:
            raise NotBootstrapped

    async def write_heartbeats(self, records: Mapping[str, HeartbeatRecord | None]) -> None:
        """Store the latest heartbeats by machine id, and remove those that are None.

        Only the next process of this controller reads them. Raises DiskUnavailable.
        """
        if not self.membership.intact:
            raise DiskLost(PATH, "this disk was lost and is not rebuilt", self._local_ip)
        await self.state.write(StateUpdate(heartbeats=records))
