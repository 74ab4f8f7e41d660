"""This controller's disk: the registers' rows, and beside them what the disk itself must remember."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from honeywood.gateway.errors import Unavailable
from honeywood.gateway.register.fields import PATH
from honeywood.gateway.register.proposer import FIRST
from honeywood.gateway.register.row import row_from_disk

BORN, MEMBERS = "born", "members"  # rows beside the registers: this disk's life; its configuration;
LIVES = "lives"  # what is known of others' later lives;
NOTES = "note/"  # before an id: this controller's note of a machine, which no other counts on
BESIDE = (BORN, MEMBERS, LIVES)
REOPEN_S = 0.3  # seconds until a disk that couldn't be opened is tried again


def _is_register(key):
    return key not in BESIDE and not key.startswith(NOTES)


class Storage:
    """The rows of a disk, as they are on it; one thread writes them."""

    def __init__(self, settings, make_disk, say):
        self.settings, self.make_disk, self.say = settings, make_disk, say
        self.rows, self.disk, self.thread = {}, None, ThreadPoolExecutor(1)

    async def _on_disk(self, work, *given):
        return await asyncio.get_running_loop().run_in_executor(self.thread, work, *given)

    async def open(self):
        """Reads the disk; one that can't be read or synced now is opened later, not taken for empty."""
        while self.disk is None:
            try:
                self.disk = await self._on_disk(self.make_disk, self.settings.data_directory)
            except OSError as wrong:
                self.say("disk not opened", 5.0, why=str(wrong))
                await asyncio.sleep(REOPEN_S)
        rows = await self._on_disk(self.disk.rows)
        self.rows = {key: row_from_disk(row) if _is_register(key) else row for key, row in rows.items()}

    async def keep(self, rows):
        """Puts rows on disk, or removes those that are None; Unavailable where the disk refuses."""
        try:
            await self._on_disk(self.disk.put, rows)
        except OSError as wrong:
            raise Unavailable(PATH, f"the disk refuses: {wrong}", self.settings.ip) from None
        self.rows.update(rows)
        for key in [key for key, row in rows.items() if row is None]:
            del self.rows[key]

    async def keep_notes(self, notes):
        """Puts notes of machines, {id: [stamp, value] or None}, aside for this disk's next life."""
        await self.keep({NOTES + id: note for id, note in notes.items()})

    @property
    def notes(self):
        """Notes of machines of an earlier life: [id, stamp, value] of each."""
        return [[key[len(NOTES) :], *row] for key, row in self.rows.items() if key.startswith(NOTES)]

    def registers(self):
        """The rows of the registers, by key."""
        return {key: row for key, row in self.rows.items() if _is_register(key)}

    def accepted(self):
        """The ballot of each value that is held, by key."""
        return {key: row.accepted for key, row in self.registers().items() if row.value is not None}

    @property
    def born(self):
        """This disk's life."""
        return int(self.rows[BORN])

    def lives(self):
        """How often each disk has begun anew, as far as this one knows, where that was more than once."""
        own = {self.settings.ip: self.born} if self.born > FIRST else {}
        return {**self.rows.get(LIVES, {}), **own}

    async def note_life(self, ip, life):
        """Remembers the later life of a lost disk."""
        if life > self.lives().get(ip, FIRST):
            await self.keep({LIVES: {**self.rows.get(LIVES, {}), ip: life}})
