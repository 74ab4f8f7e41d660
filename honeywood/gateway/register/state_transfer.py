"""Collects the rows of other disks, for a disk that enters an epoch."""

from __future__ import annotations

from dataclasses import dataclass, replace

from honeywood.gateway.register import acceptor
from honeywood.gateway.register.replies import TransferredRow, TransferStateReply
from honeywood.gateway.register.row import EMPTY_ROW, Row
from honeywood.gateway.register.values import InlineValue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from honeywood.gateway.register.membership_rules import JoinQuorum
    from honeywood.gateway.register.membership_state import MembershipState
    from honeywood.gateway.register.peer_client import PeerClient
    from honeywood.gateway.register.persistent_state import PersistentState
    from honeywood.gateway.register.replies import Reply
    from honeywood.gateway.register.requests import TransferState
    from honeywood.gateway.register.value_transfer import ValueTransfer

TRANSFER_REQUEST_TIMEOUT_S = 1.5
"""The timeout for a peer to send all its rows."""


@dataclass(frozen=True, slots=True)
class CollectedState:
    """The quorum whose rows are copied, and all replies by address, since others may have a value too."""

    quorum: JoinQuorum
    replies: Mapping[str, TransferStateReply]


class StateTransfer:
    """Requests the complete state of other disks."""

    def __init__(
        self, state: PersistentState, membership: MembershipState, peers: PeerClient, transfer: ValueTransfer
    ) -> None:
        """Values that `state` has already are not requested again."""
        self._state, self._membership, self._peers, self._transfer = state, membership, peers, transfer

    async def collect(
        self,
        ips: Iterable[str],
        request: TransferState,
        select: Callable[[Mapping[str, TransferStateReply]], JoinQuorum | None],
    ) -> CollectedState | None:
        """Send a request to all `ips` until `select` finds a quorum in the replies; None if there is none."""
        replies: dict[str, TransferStateReply] = {}
        quorum: JoinQuorum | None = None
        local_rows = dict(self._state.registers)

        def on_reply(ip: str, reply: Reply) -> bool:
            nonlocal quorum
            assert isinstance(reply, TransferStateReply), "the only reply to the request"
            self._membership.learn(reply.configuration.successor or reply.configuration)
            rows = {
                key: _with_local_value(row, local_rows.get(key, EMPTY_ROW)) for key, row in reply.rows.items()
            }
            replies[ip] = replace(reply, rows=rows)
            quorum = select(replies)
            return quorum is not None

        await self._peers.call_all(ips, request, on_reply, request_timeout_s=TRANSFER_REQUEST_TIMEOUT_S)
        return None if quorum is None else CollectedState(quorum, replies)

    async def complete_rows(self, collected: CollectedState) -> dict[str, Row]:
        """Return the merged rows of a quorum, with their values.

        Raises ValueUnavailable if a value can't be transferred in time. The chunks of it that arrived are
        kept, and the next attempt resumes there.
        """
        merged = acceptor.merge_rows(reply.rows for reply in collected.quorum.replies)
        rows = {}
        for key, row in merged.items():
            views = {ip: reply.rows.get(key) for ip, reply in collected.replies.items()}
            sources = [ip for ip, view in views.items() if view is not None and view.accepted == row.accepted]
            value = await self._transfer.resolve(row.value, sources)
            rows[key] = Row(row.promised, row.accepted, value)
        return rows


def _with_local_value(row: TransferredRow, local: Row) -> TransferredRow:
    """Return a row with the value that was omitted because this disk has it already."""
    if row.value is None and row.accepted == local.accepted:
        return row._replace(value=InlineValue(local.value))
    return row
