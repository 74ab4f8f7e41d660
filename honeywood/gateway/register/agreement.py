"""Finds the value that a majority of disks has accepted, from their replies to a read of one key. Pure."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection

    from honeywood.gateway.register.replies import RowView


def find_agreed_view(views: Collection[RowView], majority: int) -> RowView | None:
    """Return a view that a majority accepted under one ballot, or None if a new ballot must decide.

    Views that don't count as accepted are ignored: a rebuilt disk stores copies of values that it never
    accepted, together with the promises of other disks, and a higher ballot may have been promised by a disk
    that does not know the copied value.
    """
    ballots = [view.accepted for view in views if view.counts_as_accepted]
    return next((view for view in views if ballots.count(view.accepted) >= majority), None)
