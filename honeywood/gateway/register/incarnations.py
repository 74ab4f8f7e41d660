"""Incarnation numbers of the members' disks, and which replies they make invalid. Pure.

A disk that was lost and is filled again from the others starts a new incarnation. Each reply carries the
incarnations that its sender knows of, its own among them, where they are later than the first. A reply that a
disk sent before it was lost no longer counts once another reply names a later incarnation of that disk: the
disk has asked the others for their rows since, perhaps before they received what it had replied to.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from typing import Protocol, TypeVar

    class ReplyWithIncarnations(Protocol):
        """A reply that names the incarnations its sender knows of, by the address of the disk."""

        @property
        def incarnations(self) -> Mapping[str, int]:
            """The incarnations."""

    R = TypeVar("R", bound=ReplyWithIncarnations)

FIRST_INCARNATION = 1
"""The incarnation of a disk that was never lost."""


def merge_incarnations(known: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Return the latest incarnation of each disk, given what several members know."""
    return {ip: max(one.get(ip, 0) for one in known) for one in known for ip in one}


def next_incarnation(ip: str, known: Sequence[Mapping[str, int]]) -> int:
    """Return the incarnation that the lost disk of `ip` starts, given what a majority knows."""
    return merge_incarnations(known).get(ip, FIRST_INCARNATION) + 1


def current_replies(replies: Mapping[str, R]) -> dict[str, R]:
    """Return those replies, by sender, whose sender has started no later incarnation that a reply names."""
    latest: dict[str, int] = {}
    for reply in replies.values():
        for ip, incarnation in reply.incarnations.items():
            latest[ip] = max(incarnation, latest.get(ip, FIRST_INCARNATION))
    return {
        ip: reply
        for ip, reply in replies.items()
        if reply.incarnations.get(ip, FIRST_INCARNATION) == latest.get(ip, FIRST_INCARNATION)
    }
