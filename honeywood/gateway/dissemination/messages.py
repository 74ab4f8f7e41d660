"""The messages of /news: a poll and its response, each with an `encode` and a `decode` method.

Fields that are missing in messages of older releases have defaults. Any other fault in a message raises
InvalidMessage, which names the field and the peer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywood.gateway.configuration.check import need
from honeywood.gateway.dissemination import epochs
from honeywood.gateway.dissemination.chunks import Chunk, ChunkProgress
from honeywood.gateway.dissemination.record import PATH, Record, Stamp
from honeywood.gateway.errors import InvalidMessage

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import JsonValue


def _decode_records(table: dict[str, object], peer: str) -> list[Record]:
    records = need(table, "notes", list, PATH, [], peer=peer)
    return [Record.decode(record, "notes", peer) for record in records]


def _decode_bases(table: dict[str, object], peer: str) -> dict[str, str]:
    bases = need(table, "bases", dict, PATH, {}, peer=peer)
    return {key: need(bases, key, str, f"{PATH}: bases", peer=peer) for key in bases}


@dataclass(frozen=True, slots=True)
class Requester:
    """The program that polls: a proxy, or a controller, which also receives the records for controllers only.

    A controller returns the `echo_stamps` of the latest responses that it received, by the address of the
    controller that sent each, and reports the state of its `disk`.
    """

    node: str = ""
    ip: str = ""
    zone: str = ""
    incarnation: str = ""
    is_controller: bool = False
    is_proxy: bool = False
    epoch: int = 0
    echo_stamps: dict[str, JsonValue] = field(default_factory=dict)
    disk: str | None = None

    def encode(self) -> dict[str, JsonValue]:
        """Returns the requester as it appears in a poll."""
        if self.is_controller:
            table: dict[str, JsonValue] = {"ip": self.ip, "node": self.node, "private": True}
            table |= {"stamps": self.echo_stamps} if self.echo_stamps else {}
            table |= {"disk": self.disk} if self.disk else {}
        else:
            table = {
                "node": self.node,
                "ip": self.ip,
                "zone": self.zone,
                "life": self.incarnation,
                "front": self.is_proxy,
            }
        return {**table, "epoch": self.epoch}

    @classmethod
    def decode(cls, table: dict[str, object], peer: str = "") -> Requester:
        """Decodes the requester; raises InvalidMessage, which names the field and the peer."""
        where = f"{PATH}: who"
        return cls(
            node=need(table, "node", str, where, "", peer=peer),
            ip=need(table, "ip", str, where, "", peer=peer),
            zone=need(table, "zone", str, where, "", peer=peer),
            incarnation=need(table, "life", str, where, "", peer=peer),
            is_controller=need(table, "private", bool, where, False, peer=peer),
            is_proxy=need(table, "front", bool, where, False, peer=peer),
            epoch=need(table, "epoch", int, where, 0, least=0, most=epochs.MAX_EPOCH, peer=peer),
            echo_stamps=need(table, "stamps", dict, where, {}, peer=peer),
            disk=need(table, "disk", str, where, None, peer=peer),
        )


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A poll: a program requests the changes of another program's store.

    The requester has all changes up to `revision` of the store with this `incarnation`, and all records of a
    store whose digest is `digest`. The response may be held for `hold_s` seconds until there is a change, and
    may have at most `max_bytes`. `known_stamps` are the stamps of the large records that the requester has
    from any peer, and `bases` the content digests of those for which it accepts deltas. `progress` says how
    much it has of those that arrive in chunks, and `records` are its own, which the peer merges.
    """

    requester: Requester
    incarnation: str = ""
    revision: int = 0
    records: list[Record] = field(default_factory=list)
    hold_s: float = 0.0
    digest: str | None = None
    max_bytes: int | None = None
    known_stamps: dict[str, Stamp] = field(default_factory=dict)
    progress: dict[str, ChunkProgress] = field(default_factory=dict)
    bases: dict[str, str] = field(default_factory=dict)

    def encode(self) -> dict[str, JsonValue]:
        """Returns the poll as it is sent."""
        table: dict[str, JsonValue] = {
            "who": self.requester.encode(),
            "life": self.incarnation,
            "rev": self.revision,
            "notes": [record.encode() for record in self.records],
            "hold": self.hold_s,
            "digest": self.digest,
            "most": self.max_bytes,
            "held": {key: stamp.encode() for key, stamp in self.known_stamps.items()},
            "have": {key: progress.encode() for key, progress in self.progress.items()},
        }
        return {**table, "bases": {**self.bases}} if self.bases else table

    @classmethod
    def decode(cls, table: dict[str, object], peer: str = "") -> PollRequest:
        """Decodes a poll; raises InvalidMessage, which names the field and the peer."""
        stamps = need(table, "held", dict, PATH, {}, peer=peer)
        progress = need(table, "have", dict, PATH, {}, peer=peer)
        return cls(
            requester=Requester.decode(need(table, "who", dict, PATH, peer=peer), peer),
            incarnation=need(table, "life", str, PATH, "", peer=peer),
            revision=need(table, "rev", int, PATH, peer=peer),
            records=_decode_records(table, peer),
            hold_s=need(table, "hold", float, PATH, 0.0, least=0, peer=peer),
            digest=need(table, "digest", str, PATH, None, peer=peer),
            max_bytes=need(table, "most", int, PATH, None, least=1, peer=peer),
            known_stamps={key: Stamp.decode(stamp, f"held: {key}", peer) for key, stamp in stamps.items()},
            progress={key: ChunkProgress.decode(value, peer) for key, value in progress.items()},
            bases=_decode_bases(table, peer),
        )


@dataclass(frozen=True, slots=True)
class FleetView:
    """A controller's view of the fleet, as it is sent to one proxy.

    It contains the number of proxies, and the addresses of the relays that this proxy polls, the nearest
    first.
    """

    proxy_count: int
    relays: list[str]

    def encode(self) -> list[JsonValue]:
        """Returns the view as it appears in a response: [count, addresses]."""
        return [self.proxy_count, self.relays]

    @classmethod
    def decode(cls, value: list[object], peer: str = "") -> FleetView:
        """Decodes the view; raises InvalidMessage, which names the peer."""
        if len(value) == 2:
            count, relays = value
            if type(count) is int and isinstance(relays, list):
                return cls(count, relays)
        raise InvalidMessage(PATH, "fleet must be a count and a list of addresses", peer)


@dataclass(frozen=True, slots=True)
class PollResponse:
    """The changes of a store up to `revision`.

    `has_more` says that there are further changes. `chunk` is the next part of a long record. With
    `retry_after_s`, only little is sent because the link is busy; the requester polls again after these
    seconds.

    Controllers add whether they are `in_quorum`. For proxies they add the `fleet`, and the number of the
    latest counts that they received from the proxy (`counts_number`); for controllers, the state of their
    `disk`, and an `echo_stamp` that the next poll returns.
    """

    incarnation: str
    revision: int
    records: list[Record] = field(default_factory=list)
    chunk: Chunk | None = None
    has_more: bool | None = None
    retry_after_s: float | None = None
    in_quorum: bool | None = None
    fleet: FleetView | None = None
    counts_number: int | None = None
    echo_stamp: list[JsonValue] | None = None
    disk: str | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the response contains all changes: it is neither one part of them nor deferred."""
        return not self.has_more and self.retry_after_s is None

    def encode(self) -> dict[str, JsonValue]:
        """Returns the response as it is sent, without the fields that are None."""
        table: dict[str, JsonValue] = {
            "life": self.incarnation,
            "rev": self.revision,
            "notes": [record.encode() for record in self.records],
        }
        optional: dict[str, JsonValue] = {
            "piece": self.chunk.encode() if self.chunk else None,
            "more": self.has_more,
            "later": self.retry_after_s,
            "joined": self.in_quorum,
            "fleet": self.fleet.encode() if self.fleet else None,
            "counted": self.counts_number,
            "stamp": self.echo_stamp,
            "disk": self.disk,
        }
        return table | {key: value for key, value in optional.items() if value is not None}

    @classmethod
    def decode(cls, table: object, peer: str = "") -> PollResponse:
        """Decodes a response; raises InvalidMessage, which names the field and the peer."""
        if not isinstance(table, dict):
            raise InvalidMessage(PATH, "the answer must be an object", peer)
        chunk = need(table, "piece", dict, PATH, None, peer=peer)
        fleet = need(table, "fleet", list, PATH, None, peer=peer)
        return cls(
            incarnation=need(table, "life", str, PATH, peer=peer),
            revision=need(table, "rev", int, PATH, peer=peer),
            records=_decode_records(table, peer),
            chunk=None if chunk is None else Chunk.decode(chunk, peer),
            has_more=need(table, "more", bool, PATH, None, peer=peer),
            retry_after_s=need(table, "later", float, PATH, None, least=0, peer=peer),
            in_quorum=need(table, "joined", bool, PATH, None, peer=peer),
            fleet=None if fleet is None else FleetView.decode(fleet, peer),
            counts_number=need(table, "counted", int, PATH, None, least=0, peer=peer),
            echo_stamp=need(table, "stamp", list, PATH, None, peer=peer),
            disk=need(table, "disk", str, PATH, None, peer=peer),
        )
