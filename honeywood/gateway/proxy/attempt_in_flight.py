"""An attempt from the choice of its endpoint to its result."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.routing.outcomes import AttemptOutcome

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio

    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.pending_request import Attempt, PendingRequest
    from honeywood.gateway.rpc.connection import Connection
    from honeywood.gateway.rpc.reply import ExchangeFailure, Reply


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt that has not ended.

    `connection_reused`: the connection was kept from an earlier exchange. `record` is the Attempt that the
    request lists, None while nothing has been sent. `reply` is the exchange's latest result. `continues`:
    a task goes on reading after `AttemptSender.send` has returned.
    """

    request: PendingRequest
    endpoint: Endpoint
    connection: Connection | None = None
    connection_reused: bool = False
    record: Attempt | None = None
    sent_at: float = 0.0
    reply: Reply | ExchangeFailure | None = None
    continues: bool = False

    @property
    def was_abandoned(self) -> bool:
        """Whether it was ended since its client has left."""
        return self.record is not None and self.record.outcome is AttemptOutcome.ABANDONED

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """Sets the outcome that the request's list shows."""
        if self.record is not None:
            self.record.outcome = outcome

    @property
    def holds_connection(self) -> bool:
        """Whether it has a connection that has not ended."""
        return self.connection is not None and not self.connection.ended


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the endpoint's response if there is one.

    With `continuation` it has not ended: that task's result is the AttemptResult, and `outcome` is None.
    """

    outcome: AttemptOutcome | None
    reply: Reply | None = None
    continuation: asyncio.Task[AttemptResult] | None = None


NOTHING_SENT = AttemptResult(AttemptOutcome.NOT_RUN)
