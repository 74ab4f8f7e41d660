"""Incarnation numbers of the members' disks, and the replies that they invalidate. Pure.

A disk that was lost and is rebuilt from the others starts a new incarnation. Each reply carries all
incarnations later than the first that its sender knows, including that of its own disk. A reply that a disk
sent before it was lost is ignored once another reply names a later incarnation of that disk: the disk has
since requested the other members' rows, possibly before those members received the ballot that the old reply
belongs to.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from typing import Protocol, TypeVar

    class ReplyWithIncarnations(Protocol):
        """A reply with the incarnations that its sender knows."""

        @property
        def incarnations(self) -> Mapping[str, int]:
            """The known incarnations later than the first, by the address of the disk."""

    R = TypeVar("R", bound=ReplyWithIncarnations)

FIRST_INCARNATION = 1
"""The incarnation of a disk that was never lost."""


def merge_incarnations(known: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Return the latest incarnation of each disk, from what several members know."""
    return {ip: max(mapping.get(ip, 0) for mapping in known) for mapping in known for ip in mapping}


def next_incarnation(ip: str, known: Sequence[Mapping[str, int]]) -> int:
    """Return the incarnation that the lost disk of `ip` starts, from what a majority knows."""
    return merge_incarnations(known).get(ip, FIRST_INCARNATION) + 1


def current_replies(replies: Mapping[str, R]) -> dict[str, R]:
    """Return the replies, by sender, that are not from an outdated incarnation of their sender.

    A reply is outdated if any of the replies names a later incarnation of its sender.
    """
    latest: dict[str, int] = {}
    for reply in replies.values():
        for ip, incarnation in reply.incarnations.items():
            latest[ip] = max(incarnation, latest.get(ip, FIRST_INCARNATION))
    return {
        ip: reply
        for ip, reply in replies.items()
        if reply.incarnations.get(ip, FIRST_INCARNATION) == latest.get(ip, FIRST_INCARNATION)
    }
