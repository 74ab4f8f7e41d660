"""The messages of /news: an ask, and its answer. Each has one encode and one decode; what is decoded holds,
or errors.InvalidMessage names the field and the peer."""

from dataclasses import dataclass, field
from typing import Any

from honeywood.gateway.configuration.check import need
from honeywood.gateway.dissemination import epochs
from honeywood.gateway.dissemination.chunk import Chunk, Progress
from honeywood.gateway.dissemination.record import PATH, Record, stamp_of
from honeywood.gateway.errors import InvalidMessage


def _records(table, peer):
    return [Record.decode(one, "notes", peer) for one in need(table, "notes", list, PATH, [], peer=peer)]


@dataclass(frozen=True, slots=True)
class Asker:
    """Who asks: a controller, told what is for controllers only, or a proxy; `life` is its incarnation. A
    controller repeats the `stamps` of the latest answers that it had from others, {ip: stamp}, and tells the
    state of its `disk`."""

    node: str = ""
    ip: str = ""
    zone: str = ""
    life: str = ""
    controller: bool = False
    proxy: bool = False
    epoch: int = 0
    stamps: dict = field(default_factory=dict)
    disk: str | None = None

    def encode(self):
        """As it stands in an ask."""
        if self.controller:
            found = {"ip": self.ip, "node": self.node, "private": True}
            found |= {"stamps": self.stamps} if self.stamps else {}
            found |= {"disk": self.disk} if self.disk else {}
        else:
            found = {
                "node": self.node,
                "ip": self.ip,
                "zone": self.zone,
                "life": self.life,
                "front": self.proxy,
            }
        return {**found, "epoch": self.epoch}

    @classmethod
    def decode(cls, table, peer=""):
        """Who asks, out of an ask; raises errors.InvalidMessage that names field and peer."""
        where = f"{PATH}: who"
        names = [need(table, key, str, where, "", peer=peer) for key in ("node", "ip", "zone", "life")]
        kinds = [need(table, key, bool, where, False, peer=peer) for key in ("private", "front")]
        epoch = need(table, "epoch", int, where, 0, least=0, most=epochs.MOST, peer=peer)
        stamps = need(table, "stamps", dict, where, {}, peer=peer)
        return cls(*names, *kinds, epoch, stamps, need(table, "disk", str, where, None, peer=peer))


@dataclass(frozen=True, slots=True)
class Ask:
    """One program asks another for what it hasn't heard: it knows all up to the count of changes `rev` of the
    store whose life is `life`, or of any store with its `digest`. `records` go along; the answer may be held
    for `hold_s` and has at most `most` bytes. `held` are stamps of large records that others have told,
    `have` what has been collected of them: {key: Progress}."""

    who: Asker
    life: str = ""
    rev: int = 0
    records: list = field(default_factory=list)
    hold_s: float = 0.0
    digest: str | None = None
    most: int | None = None
    held: dict = field(default_factory=dict)
    have: dict = field(default_factory=dict)

    def encode(self):
        """As it is sent."""
        return {
            "who": self.who.encode(),
            "life": self.life,
            "rev": self.rev,
            "notes": [record.encode() for record in self.records],
            "hold": self.hold_s,
            "digest": self.digest,
            "most": self.most,
            "held": self.held,
            "have": {key: progress.encode() for key, progress in self.have.items()},
        }

    @classmethod
    def decode(cls, table, peer=""):
        """An ask as it came; raises errors.InvalidMessage that names field and peer."""
        held, have = (
            need(table, "held", dict, PATH, {}, peer=peer),
            need(table, "have", dict, PATH, {}, peer=peer),
        )
        return cls(
            Asker.decode(need(table, "who", dict, PATH, peer=peer), peer),
            need(table, "life", str, PATH, "", peer=peer),
            need(table, "rev", int, PATH, peer=peer),
            _records(table, peer),
            need(table, "hold", float, PATH, 0.0, least=0, peer=peer),
            need(table, "digest", str, PATH, None, peer=peer),
            need(table, "most", int, PATH, None, least=1, peer=peer),
            {key: stamp_of(stamp, f"held: {key}", peer) for key, stamp in held.items()},
            {key: Progress.decode(progress, peer) for key, progress in have.items()},
        )


@dataclass(frozen=True, slots=True)
class Answer:
    """What a store told: all its records up to the count of changes `rev`. `more`: there is more, `chunk` is
    the next part of a long one; `later_s`: nothing was told, come again after so many seconds. Controllers
    say besides whether they are in quorum; to proxies how many proxies there are and the addresses of their
    relays (`fleet`), and up to which number their counts have come (`counted`); to controllers the state of
    their `disk` and a `stamp` to be repeated in the next ask."""

    life: str
    rev: int
    records: list = field(default_factory=list)
    chunk: Chunk | None = None
    more: bool | None = None
    later_s: float | None = None
    in_quorum: bool | None = None
    fleet: Any = None
    counted: int | None = None
    stamp: list | None = None
    disk: str | None = None

    @property
    def whole(self):
        """Whether it told all that there was: neither a part of it, nor nothing for want of a turn."""
        return not self.more and self.later_s is None

    def encode(self):
        """As it is sent; what isn't said is left out."""
        found = {"life": self.life, "rev": self.rev, "notes": [record.encode() for record in self.records]}
        besides = {
            "piece": self.chunk and self.chunk.encode(),
            "more": self.more,
            "later": self.later_s,
            "joined": self.in_quorum,
            "fleet": self.fleet,
            "counted": self.counted,
            "stamp": self.stamp,
            "disk": self.disk,
        }
        return found | {key: value for key, value in besides.items() if value is not None}

    @classmethod
    def decode(cls, table, peer=""):
        """An answer as it came; raises errors.InvalidMessage that names field and peer."""
        if not isinstance(table, dict):
            raise InvalidMessage(PATH, "the answer must be an object", peer)
        chunk = need(table, "piece", dict, PATH, None, peer=peer)
        return cls(
            need(table, "life", str, PATH, peer=peer),
            need(table, "rev", int, PATH, peer=peer),
            _records(table, peer),
            None if chunk is None else Chunk.decode(chunk, peer),
            need(table, "more", bool, PATH, None, peer=peer),
            need(table, "later", float, PATH, None, least=0, peer=peer),
            need(table, "joined", bool, PATH, None, peer=peer),
            _fleet(table, peer),
            need(table, "counted", int, PATH, None, least=0, peer=peer),
            need(table, "stamp", list, PATH, None, peer=peer),
            need(table, "disk", str, PATH, None, peer=peer),
        )


def _fleet(table, peer):
    """How many proxies there are, and the addresses of the asker's relays: (count, [ip])."""
    fleet = need(table, "fleet", list, PATH, None, peer=peer)
    if fleet is None:
        return None
    if not (len(fleet) == 2 and type(fleet[0]) is int and isinstance(fleet[1], list)):
        raise InvalidMessage(PATH, "fleet must be a count and a list of addresses", peer)
    return fleet[0], fleet[1]
