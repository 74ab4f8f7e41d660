"""The register: this controller's disk and its way to the others, as one object for the program.

Its parts: service.py answers others (acceptor), rounds.py changes (proposer), reads.py reads, rebuild.py
brings a disk to where it counts.
"""

from honeywood.gateway.errors import Unavailable
from honeywood.gateway.register.epochs import Epochs
from honeywood.gateway.register.fields import PATH
from honeywood.gateway.register.peers import Peers
from honeywood.gateway.register.reads import Reads
from honeywood.gateway.register.rebuild import Rebuild
from honeywood.gateway.register.requests import decode_request, encode_reply
from honeywood.gateway.register.rounds import NONE_YET, Rounds
from honeywood.gateway.register.service import AcceptorService
from honeywood.gateway.register.storage import Storage
from honeywood.gateway.register.transfer import ValueTransfer
from honeywood.gateway.register.value_lookup import ValueLookup
from honeywood.gateway.register.value_store import ValueStore


class Register:
    """This disk and the way to the others; of 2 n + 1 that count, n = `settings.tolerated_failures` may be
    lost."""

    def __init__(self, settings, caller, random, say, disk):
        self.settings = settings
        self.storage = Storage(settings, disk, say)
        self.epochs = Epochs(settings, self.storage, say)
        self.lookup = ValueLookup(self.storage, ValueStore())
        self.service = AcceptorService(settings, self.storage, self.epochs, self.lookup)
        self.peers = Peers(settings, caller, self.epochs, self.service.serve)
        self.transfer = ValueTransfer(self.lookup, self.peers.call)
        self.rounds = Rounds(
            settings, random, self.epochs, self.storage, self.lookup, self.peers, self.transfer
        )
        self.reads = Reads(self.epochs, self.storage, self.peers, self.rounds)
        self.rebuild = Rebuild(settings, say, self.storage, self.epochs, self.peers, self.rounds)

    @property
    def rows(self):
        """All that is on this disk, by key."""
        return self.storage.rows

    @property
    def thread(self):
        """The thread that writes to the disk."""
        return self.storage.thread

    @property
    def notes(self):
        """Notes of machines of an earlier life of this disk: [id, stamp, value] of each."""
        return self.storage.notes

    @property
    def here(self):
        """The configuration this disk goes by."""
        return self.epochs.here

    @property
    def members(self):
        """The addresses of the members of this epoch."""
        return self.epochs.members

    @property
    def epoch(self):
        """The number of this epoch."""
        return self.epochs.epoch

    @property
    def sound(self):
        """Whether this disk holds all that it ever told others."""
        return self.epochs.sound

    @property
    def settled(self):
        """Whether this disk is where it belongs: it counts, or is known not to."""
        return self.epochs.settled

    @property
    def counts(self):
        """Whether this disk takes steps of its epoch."""
        return self.epochs.counts

    async def keep_notes(self, notes):
        """Puts notes of machines, {id: [stamp, value] or None}, aside for this disk's next life."""
        if not self.sound:
            raise Unavailable(PATH, "this disk was lost and is not rebuilt", self.settings.ip)
        await self.storage.keep_notes(notes)

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
        """The answer to another's message; Unavailable where there is none."""
        return encode_reply(await self.service.serve(decode_request(ask, peer), peer))

    async def change(self, key, change):
        """Done with the value that a majority's disks hold after `change`, or Failed."""
        return await self.rounds.change(key, change) if self.epochs.founded else NONE_YET

    async def read(self, key):
        """Done with the value of one key that a majority agreed on at some moment since the call."""
        return await self.reads.read(key) if self.epochs.founded else NONE_YET

    async def survey(self):
        """Done with all values that a majority agrees on, by key."""
        self.lookup.prune()
        return await self.reads.survey() if self.epochs.founded else NONE_YET
