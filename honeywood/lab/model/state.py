"""What a state of the register's model is made of: disks, writers, a read under way; all hashable."""

from dataclasses import dataclass
from dataclasses import replace as _replaced

from honeywood.gateway.register.incarnations import FIRST_INCARNATION
from honeywood.gateway.register.row import EMPTY_ROW, Ballot, Row

OUT, COMING, TAKEN = "out", "coming", "taken"  # a step's request; its answer on its way; its answer taken
PREPARE, ACCEPT, TOLD = "prepare", "accept", "told"


@dataclass(frozen=True, slots=True)
class Disk:
    """`synced` is what a loss of power leaves of `row`. `sealed`: the next epoch is known and no step of this
    one is taken; `follows`: it has accepted that there is to be a next."""

    lives: tuple
    sound: bool = True
    life: int = FIRST_INCARNATION
    row: Row = EMPTY_ROW
    synced: Row = EMPTY_ROW
    epoch: int = 1
    sealed: bool = False
    follows: bool = False
    pulls: tuple = ()  # (disk, what it told) for one that moves, or was lost and has the life it will have

    def known(self, own):
        """The lives that it tells of, in the order of the disks."""
        return tuple(self.life if at == own else life for at, life in enumerate(self.lives))


@dataclass(frozen=True, slots=True)
class Writer:
    """A proposer in its step `step`; its requests' ways and the answers to them, by disk."""

    step: str
    epoch: int
    ballot: Ballot
    value: object = None
    ways: tuple = ()
    answers: tuple = ()
    again: int = 0  # how often it may still begin anew


@dataclass(frozen=True, slots=True)
class Reading:
    """A read under way: what had been told when it began, and (disk, reply) of who answered."""

    epoch: int
    told: tuple
    replies: tuple = ()


@dataclass(frozen=True, slots=True)
class State:
    """The whole system at one moment."""

    disks: tuple
    writers: tuple
    wipes: int
    powers: int
    agreed: int = 1  # the newest epoch
    reads: int = 0  # still to come
    reading: object = None
    found: tuple = ()  # what reads found
    stale: bool = False  # one found less than was told before it

    def with_disk(self, place, disk):
        """This state with another disk at a place."""
        return _replaced(self, disks=put_at(self.disks, place, disk))

    def with_writer(self, place, writer):
        """This state with another writer at a place."""
        return _replaced(self, writers=put_at(self.writers, place, writer))


def put_at(items, place, item):
    """A tuple with another item at a place."""
    return items[:place] + (item,) + items[place + 1 :]


def lives_by_place(reply):
    """A reply whose lives stand in the order of the disks, as the program's rules take it."""
    return _replaced(reply, incarnations=dict(enumerate(reply.incarnations)))
