"""Rules for the chain of configurations, each agreed by a majority of the one before. Pure.

Each request of the register carries its epoch, and a disk serves requests of its own epoch alone. Once the
members of an epoch have agreed on the next configuration, a majority of them seal theirs: they serve no more
requests of it, and send what they store. A disk that received that from a majority has all that was accepted
there, keeps all that was promised there, and so enters the next epoch.

The members of BOOTSTRAP_EPOCH are the seeds of the first start; all that they agree on is epoch 1.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from honeywood.gateway.register.incarnations import current_replies
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.values import InlineValue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.register.replies import TransferStateReply

BOOTSTRAP_EPOCH = 0

SUCCESSOR_KEY = "successor"
"""The key with which an epoch agrees on the next configuration: {"epoch", "members"}."""


@dataclass(frozen=True, slots=True)
class JoinQuorum:
    """A configuration that a disk may enter, and the replies of its members with what the disk must store."""

    configuration: MembershipConfiguration
    replies: list[TransferStateReply]


def majority(configuration: MembershipConfiguration) -> int:
    """Return how many members of a configuration decide."""
    return len(configuration.members) // 2 + 1


def accepts_epoch(configuration: MembershipConfiguration, ip: str, epoch: int) -> bool:
    """Return whether the disk of `ip` serves requests of `epoch`."""
    is_open = configuration.epoch == epoch and configuration.successor is None
    return is_open and ip in configuration.members


def seal(
    configuration: MembershipConfiguration, successor: MembershipConfiguration
) -> MembershipConfiguration | None:
    """Return a disk's configuration once the next one is agreed; None where nothing changes."""
    if configuration.successor is None and configuration.epoch + 1 == successor.epoch:
        return replace(configuration, successor=successor)
    return None


def enter(successor: MembershipConfiguration) -> MembershipConfiguration:
    """Return the configuration of a disk that enters the next epoch."""
    return successor.without_successor()


def transition_quorum(
    configuration: MembershipConfiguration, replies: Mapping[str, TransferStateReply]
) -> list[TransferStateReply]:
    """Return the replies with which a disk of this sealed configuration may enter the next one.

    They are those of a majority of its members, all sealed or in the next epoch. Empty while there are too
    few. The disk must never have been in the next epoch (see join_quorum for one that was lost).
    """
    next_epoch = configuration.epoch + 1
    sealed = {
        ip: reply
        for ip, reply in replies.items()
        if ip in configuration.members
        and (reply.configuration.epoch == next_epoch or _is_sealed(reply, configuration.epoch))
    }
    current = current_replies(sealed)
    if len(current) >= majority(configuration):
        return list(current.values())
    # A member of the next epoch that entered it has received a majority of this one already, and stores what
    # was accepted since. This disk, which never served a request there, may take over what that one stores.
    return [
        reply
        for ip, reply in current_replies(replies).items()
        if reply.configuration.epoch == next_epoch and ip in reply.configuration.members
    ]


def _is_sealed(reply: TransferStateReply, epoch: int) -> bool:
    return reply.configuration.epoch == epoch and reply.configuration.successor is not None


def _may_be_over(reply: TransferStateReply) -> bool:
    """Return whether a next configuration may have been agreed, as far as the reply shows."""
    epoch = reply.configuration.epoch
    if _is_sealed(reply, epoch):
        return True
    row = reply.rows.get(SUCCESSOR_KEY)
    if row is None or not isinstance(row.value, InlineValue) or row.value.value is None:
        return False
    return MembershipConfiguration.from_stored(row.value.value).epoch > epoch


def join_quorum(ip: str, replies: Mapping[str, TransferStateReply], lost: bool) -> JoinQuorum | None:
    """Return the newest configuration in the replies, if a majority of its members but `ip` replied.

    For a disk that was lost, is new, or stayed behind. A `lost` disk enters no epoch that may be over: it may
    have been in the next one, and what it accepted there would be missing when it entered that again with
    what the members of this one store.
    """
    configurations = [reply.configuration for reply in replies.values()]
    newest = max(configurations, key=lambda one: one.epoch, default=None)
    if newest is None or newest.epoch == BOOTSTRAP_EPOCH:
        return None
    entered = {
        sender: reply
        for sender, reply in replies.items()
        if sender != ip and sender in newest.members and reply.configuration.epoch == newest.epoch
    }
    current = list(current_replies(entered).values())
    if len(current) < majority(newest) or lost and any(_may_be_over(reply) for reply in current):
        return None
    successors = (reply.configuration.successor for reply in current)
    successor = next((one for one in successors if one is not None), None)
    return JoinQuorum(replace(newest, successor=successor), current)
