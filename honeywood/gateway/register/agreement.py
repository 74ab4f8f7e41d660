"""What a majority of disks agrees on, given the views of one key that they replied to a read. Pure."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection

    from honeywood.gateway.register.replies import RowView


def find_agreed_view(views: Collection[RowView], majority: int) -> RowView | None:
    """Return a view that a majority accepted under one ballot, None where a ballot must decide.

    Views that don't count as accepted are left out: a disk that was filled from the others stores copies of
    values that it never accepted, beside the promises of others, and a higher ballot may have been promised
    where the copied one was unknown.
    """
    ballots = [view.accepted for view in views if view.counts_as_accepted]
    return next((view for view in views if ballots.count(view.accepted) >= majority), None)
