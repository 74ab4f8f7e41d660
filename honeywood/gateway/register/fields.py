"""Fields of the controllers' messages, read one by one; errors name step, field and peer. Pure."""

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidInput, InvalidMessage
from honeywood.gateway.register.row import Ballot

PATH = "/register"
FORM = 2  # of the messages; 1 carried whole values and named its steps `op`


class Fields:
    """The fields of one message of one peer."""

    __slots__ = ("table", "kind", "peer")

    def __init__(self, table, kind, peer):
        self.table, self.kind, self.peer = table, kind, peer

    def wrong(self, why):
        """The error to raise about this message."""
        return InvalidMessage(PATH, f"{self.kind}: {why}", self.peer)

    def take(self, name, kind, **more):
        """The field `name`, of `kind` and within the bounds given."""
        try:
            return need(self.table, name, kind, PATH, **more)
        except InvalidInput as error:
            raise self.wrong(error.reason) from None

    def within(self, name):
        """The fields of the object under `name`."""
        return Fields(self.take(name, dict), f"{self.kind}.{name}", self.peer)

    def each(self, name):
        """(key, fields) of each object in the object under `name`."""
        inside = self.within(name)
        return [(key, inside.within(key)) for key in inside.table]

    def ballot(self, name):
        """The ballot under `name`."""
        raw = self.take(name, list)
        if len(raw) != 2 or type(raw[0]) is not int or not isinstance(raw[1], str):
            raise self.wrong(f"{name} is no ballot [count, name]")
        return Ballot(*raw)

    def ballots(self, name):
        """The ballots by key under `name`."""
        inside = self.within(name)
        return {key: inside.ballot(key) for key in inside.table}

    def lives(self):
        """How often each disk has begun anew, by the disk's address."""
        inside = self.within("lives")
        return {ip: inside.take(ip, int, least=1) for ip in inside.table}

    def configuration(self, name):
        """{"epoch", "members", "next"} under `name`."""
        inside = self.within(name)
        following = inside.within("next") if inside.table.get("next") is not None else None
        return {**inside.successor(), "next": following and following.successor()}

    def successor(self):
        """{"epoch", "members"} of these fields."""
        members = self.take("members", list)
        if not all(isinstance(ip, str) for ip in members):
            raise self.wrong("members holds what is no address")
        return {"epoch": self.take("epoch", int, least=0), "members": members}
