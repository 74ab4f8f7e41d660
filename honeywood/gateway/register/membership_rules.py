"""Rules for membership changes: each configuration is agreed on by a majority of the previous one. Pure.

Each request carries an epoch, and a disk serves only requests of its own epoch. Once the members of an epoch
have agreed on the next configuration, a majority of them seal the epoch: they serve no further requests of
it, and send their state on request. A disk that has received the state of a majority has every value that was
accepted in that epoch and keeps every promise that was made in it, so it may enter the next epoch.

The members of BOOTSTRAP_EPOCH are the seeds of the first start; they agree only on the members of epoch 1.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from honeywood.gateway.register.incarnations import current_replies
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.values import InlineValue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from honeywood.gateway.register.replies import TransferStateReply

BOOTSTRAP_EPOCH = 0

SUCCESSOR_KEY = "successor"
"""The key under which the members of an epoch agree on the next configuration: {"epoch", "members"}."""


@dataclass(frozen=True, slots=True)
class JoinQuorum:
    """A configuration that a disk may enter, and the replies with the state that it must store first."""

    configuration: MembershipConfiguration
    replies: list[TransferStateReply]


def majority(configuration: MembershipConfiguration) -> int:
    """Return the number of members of a configuration that form a quorum."""
    return len(configuration.members) // 2 + 1


def accepts_epoch(configuration: MembershipConfiguration, ip: str, epoch: int) -> bool:
    """Return whether the disk of `ip` serves requests of `epoch`."""
    is_open = configuration.epoch == epoch and configuration.successor is None
    return is_open and ip in configuration.members


def seal(
    configuration: MembershipConfiguration, successor: MembershipConfiguration
) -> MembershipConfiguration | None:
    """Return a disk's configuration sealed with its agreed successor, or None if nothing changes."""
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

    These are the replies of a majority of its members, each sealed or already in the next epoch. The list is
    empty while there are too few. The disk must never have been in the next epoch; join_quorum covers disks
    that were lost.
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
    # A member that entered the next epoch has already received the state of a majority of this one, and
    # stores the values accepted since. This disk never served a request in the next epoch, so it may copy
    # that state.
    return [
        reply
        for ip, reply in current_replies(replies).items()
        if reply.configuration.epoch == next_epoch and ip in reply.configuration.members
    ]


def is_handed_over(newest: MembershipConfiguration, entered: Collection[str]) -> bool:
    """Return whether a former member may end for good, once the members `entered` are in the newest epoch.

    While fewer than a majority are, the state of the former member may be needed for entering it. After that
    any one of them is enough (see transition_quorum), and one survives the tolerated failures.
    """
    return len({*entered} & {*newest.members}) >= majority(newest)


def _is_sealed(reply: TransferStateReply, epoch: int) -> bool:
    return reply.configuration.epoch == epoch and reply.configuration.successor is not None


def _may_be_over(reply: TransferStateReply) -> bool:
    """Return whether, according to the reply, a next configuration may have been agreed on."""
    epoch = reply.configuration.epoch
    if _is_sealed(reply, epoch):
        return True
    row = reply.rows.get(SUCCESSOR_KEY)
    if row is None or not isinstance(row.value, InlineValue) or row.value.value is None:
        return False
    return MembershipConfiguration.from_stored(row.value.value).epoch > epoch


def join_quorum(ip: str, replies: Mapping[str, TransferStateReply], lost: bool) -> JoinQuorum | None:
    """Return the newest configuration in the replies, if enough of its members other than `ip` replied.

    For a disk that was lost, is new, or missed a membership change. A `lost` disk needs the replies of a
    majority, and does not enter an epoch that may be over: it may already have been in the next epoch, and if
    it entered that one again with the state of this epoch's members, the values that it had accepted there
    would be missing.

    For another disk one member in the newest epoch is enough, as in `transition_quorum`: this disk never
    served a request in that epoch, and that member has every value of the earlier ones. With a majority of
    the others, a member that was away during two changes could not replace the next one that is lost.
    """
    configurations = [reply.configuration for reply in replies.values()]
    newest = max(configurations, key=lambda configuration: configuration.epoch, default=None)
    if newest is None or newest.epoch == BOOTSTRAP_EPOCH:
        return None
    entered = {
        sender: reply
        for sender, reply in replies.items()
        if sender != ip and sender in newest.members and reply.configuration.epoch == newest.epoch
    }
    current = list(current_replies(entered).values())
    needed = majority(newest) if lost else 1
    if len(current) < needed or lost and any(_may_be_over(reply) for reply in current):
        return None
    successors = (reply.configuration.successor for reply in current)
    successor = next((candidate for candidate in successors if candidate is not None), None)
    return JoinQuorum(replace(newest, successor=successor), current)
