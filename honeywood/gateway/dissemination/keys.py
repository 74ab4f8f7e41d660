"""Keys of records: the kind of the record, a slash, and the name of its subject.

Keys are sent between programs of different releases and stored on disk, so their text must not change.
"""

from __future__ import annotations

from enum import StrEnum


class RecordKind(StrEnum):
    """The kinds of records; a store also accepts records of unknown kinds."""

    CONFIGURATION = "config"  # the packed configuration; the only record of its kind, with this key
    ROLLOUT = "rollout"  # rollout/SERVICE: the rollout of a service
    MACHINE = "machine"  # machine/ID: the location and state of a service machine
    HEARTBEAT = "beat"  # beat/ID: a machine's latest heartbeat, as the stamp; without a value
    PROXY_COUNTS = "count"  # count/NODE/INCARNATION: a proxy's outcome counts for versions on trial
    PROXY_LOCATION = "fleet"  # fleet/CONTROLLER/NODE: where a proxy that polls this controller is, or None
    CONTROLLER = "bourse"  # bourse/IP: the node name of a controller
    TOMBSTONES = "left"  # left/BUCKET: tombstones of machines that left permanently

    @property
    def prefix(self) -> str:
        """The prefix of the keys of this kind."""
        return f"{self.value}/"

    def key(self, *names: str) -> str:
        """Returns the key of a record of this kind."""
        return "/".join((self.value, *names))


# Records that are sent among controllers only.
CONTROLLER_ONLY_PREFIXES = (
    RecordKind.HEARTBEAT.prefix,
    RecordKind.PROXY_COUNTS.prefix,
    RecordKind.PROXY_LOCATION.prefix,
    RecordKind.TOMBSTONES.prefix,
)


def is_controller_only(key: str) -> bool:
    """Whether the record with this key is not sent to proxies."""
    return key.startswith(CONTROLLER_ONLY_PREFIXES)


def kind_of(key: str) -> str:
    """Returns the kind in a key, which may be unknown to this release."""
    return key.partition("/")[0]


def name_of(key: str) -> str:
    """Returns the name in a key: what follows the kind and the slash."""
    return key.partition("/")[2]
