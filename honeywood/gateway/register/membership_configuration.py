"""A membership configuration: the members of one epoch, and the next configuration once it is agreed on."""

from __future__ import annotations

from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.message_fields import MessageFields


@dataclass(frozen=True, slots=True)
class MembershipConfiguration:
    """The addresses of the members of one epoch.

    `successor` is the next configuration, once it is known to be agreed on; the epoch is then sealed.
    """

    epoch: int
    members: tuple[str, ...]
    successor: MembershipConfiguration | None = None

    def without_successor(self) -> MembershipConfiguration:
        """Return a copy with the epoch and the members only."""
        return MembershipConfiguration(self.epoch, self.members)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form, including the successor, as it is stored and sent."""
        successor = self.successor and self.successor.encode_members()
        return {**self.encode_members(), "next": successor}

    def encode_members(self) -> dict[str, JsonValue]:
        """Return the JSON form of the epoch and the members only."""
        return {"epoch": self.epoch, "members": list(self.members)}

    @classmethod
    def decode(cls, fields: MessageFields) -> MembershipConfiguration:
        """Read a configuration and its successor from the fields of a message."""
        successor = None
        if fields.has("next"):
            successor = cls.decode_members(fields.object("next"))
        configuration = cls.decode_members(fields)
        return cls(configuration.epoch, configuration.members, successor)

    @classmethod
    def decode_members(cls, fields: MessageFields) -> MembershipConfiguration:
        """Read the epoch and the members only from the fields of a message."""
        members = fields.take("members", list)
        if not all(isinstance(ip, str) for ip in members):
            raise fields.error("members holds what is no address")
        return cls(fields.take("epoch", int, least=0), tuple(members))

    @classmethod
    def from_stored(cls, stored: JsonValue) -> MembershipConfiguration:
        """Read a configuration from a row of this disk or from an agreed value, without checks."""
        successor = stored.get("next")
        return cls(stored["epoch"], tuple(stored["members"]), successor and cls.from_stored(successor))
