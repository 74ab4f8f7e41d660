"""The register: this controller's disk and its way to the others, as one object for the program.

Its parts: acceptor_service.py answers others, proposer.py changes, reader.py reads, membership_manager.py
brings a disk to where it counts.
"""

from honeywood.gateway.configuration.outcome import Wrong
from honeywood.gateway.register.membership_state import MembershipState
from honeywood.gateway.register.message_fields import PATH
from honeywood.gateway.register.peer_client import PeerClient
from honeywood.gateway.register.reader import Reader
from honeywood.gateway.register.membership_manager import MembershipManager
from honeywood.gateway.register.requests import decode_request, encode_reply
from honeywood.gateway.register.proposer import NONE_YET, Proposer
from honeywood.gateway.register.acceptor_service import AcceptorService
from honeywood.gateway.register.persistent_state import PersistentState
from honeywood.gateway.register.state_update import StateUpdate
from honeywood.gateway.register.value_transfer import ValueTransfer
from honeywood.gateway.register.value_lookup import ValueLookup
from honeywood.gateway.register.value_store import ValueStore


class Register:
    """This disk and the way to the others. `settings.bear` disks may be lost at once, so 2 bear + 1 count."""

    def __init__(self, settings, caller, random, say, disk):
        self.settings = settings
        self.storage = PersistentState(settings, disk, say)
        self.epochs = MembershipState(self.storage, say)
        self.lookup = ValueLookup(self.storage, ValueStore())
        self.service = AcceptorService(self.storage, self.epochs, self.lookup)
        self.peers = PeerClient(settings, caller, self.epochs, self.service.serve)
        self.transfer = ValueTransfer(self.lookup, self.peers.call)
        self.rounds = Proposer(
            settings, random, self.epochs, self.storage, self.lookup, self.peers, self.transfer
        )
        self.reads = Reader(self.epochs, self.storage, self.peers, self.rounds)
        self.rebuild = MembershipManager(settings, say, self.storage, self.epochs, self.peers, self.rounds)

    @property
    def configuration(self):
        """The configuration this disk goes by."""
        return self.epochs.configuration

    @property
    def members(self):
        """The addresses of the members of this epoch."""
        return self.epochs.members

    @property
    def epoch(self):
        """The number of this epoch."""
        return self.epochs.epoch

    @property
    def intact(self):
        """Whether this disk holds all that it ever told others."""
        return self.epochs.intact

    @property
    def is_synchronized(self):
        """Whether this disk is where it belongs: it counts, or is known not to."""
        return self.epochs.is_synchronized

    @property
    def is_voter(self):
        """Whether this disk takes steps of its epoch."""
        return self.epochs.is_voter

    async def write_heartbeats(self, records):
        """Puts machines' heartbeats, HeartbeatRecords or None by id, aside for this disk's next life."""
        if not self.intact:
            raise Wrong(PATH, "this disk was lost and is not rebuilt", self.settings.ip, 503)
        await self.storage.write(StateUpdate(heartbeats=records))

    async def open(self):
        """Opens the disk."""
        await self.rebuild.begin()

    async def settle(self, known):
        """Brings this disk to where it counts, as far as the controllers `known` allow it now."""
        await self.rebuild.settle(known)

    async def replace(self, lost, spare):
        """Has `spare` take the place of the member `lost`, if nobody changes the members meanwhile."""
        return await self.rebuild.replace(lost, spare)

    async def serve(self, ask, peer):
        """The answer to another's message; Wrong where there is none."""
        return encode_reply(await self.service.serve(decode_request(ask, peer), peer))

    async def change(self, key, change):
        """Done with the value that a majority's disks hold after `change`, or Failed."""
        return await self.rounds.change(key, change) if self.epochs.is_bootstrapped else NONE_YET

    async def read(self, key):
        """Done with the value of one key that a majority agreed on at some moment since the call."""
        return await self.reads.read(key) if self.epochs.is_bootstrapped else NONE_YET

    async def survey(self):
        """Done with all values that a majority agrees on, by key."""
        self.lookup.discard_expired()
        return await self.reads.survey() if self.epochs.is_bootstrapped else NONE_YET
