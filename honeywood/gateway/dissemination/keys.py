"""Keys of records: the kind, then a slash and the name of what the record is about.

They stand in messages between programs of different releases and on disks, so their text never changes.
"""

from __future__ import annotations

from enum import StrEnum


class RecordKind(StrEnum):
    """The kinds of records; a store takes records of kinds that it doesn't know, too."""

    CONFIGURATION = "config"  # the only record of its kind, and its whole key; the packed configuration
    ROLLOUT = "rollout"  # rollout/SERVICE: the service's rollout
    MACHINE = "machine"  # machine/ID: where a service machine is, and its state
    HEARTBEAT = "beat"  # beat/ID: a machine's latest heartbeat, in the stamp; no value
    PROXY_COUNTS = "count"  # count/NODE/INCARNATION: a proxy's outcome counts of versions on trial
    PROXY_LOCATION = "fleet"  # fleet/CONTROLLER/NODE: a proxy that polls this controller, or None
    CONTROLLER = "bourse"  # bourse/IP: a controller's node name
    TOMBSTONES = "left"  # left/BUCKET: machines that left for good

    @property
    def prefix(self) -> str:
        """How the keys of this kind begin."""
        return f"{self.value}/"

    def key(self, *names: str) -> str:
        """The key of a record of this kind."""
        return "/".join((self.value, *names))


# Records that only controllers send to each other.
CONTROLLER_ONLY_PREFIXES = (
    RecordKind.HEARTBEAT.prefix,
    RecordKind.PROXY_COUNTS.prefix,
    RecordKind.PROXY_LOCATION.prefix,
    RecordKind.TOMBSTONES.prefix,
)


def is_controller_only(key: str) -> bool:
    """Whether proxies aren't sent the record of this key."""
    return key.startswith(CONTROLLER_ONLY_PREFIXES)


def kind_of(key: str) -> str:
    """The kind in a key, which may be one that this release doesn't know."""
    return key.partition("/")[0]


def name_of(key: str) -> str:
    """What follows the kind in a key."""
    return key.partition("/")[2]
