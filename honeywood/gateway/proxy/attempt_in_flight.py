"""The state of an attempt while it is in flight, and its result."""

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

    Attributes:
        request: The request that is attempted.
        endpoint: The endpoint that was selected for the attempt.
        connection: The connection in use, None until one is available.
        connection_reused: Whether the connection was kept from an earlier exchange.
        record: The entry in `request.attempts`, None while nothing has been sent.
        sent_at: When the exchange started, in seconds on the sender's clock.
        reply: The latest result of the exchange.
        continues: Whether a task continues to read after `AttemptSender.send` has returned.
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
        """Whether the attempt was ended because its client disconnected."""
        return self.record is not None and self.record.outcome is AttemptOutcome.ABANDONED

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """Sets the outcome in the request's list of attempts, if the attempt has an entry there."""
        if self.record is not None:
            self.record.outcome = outcome

    @property
    def holds_connection(self) -> bool:
        """Whether the attempt has a connection that has not ended."""
        return self.connection is not None and not self.connection.ended


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the endpoint's response if there is one.

    If `continuation` is set, the attempt is still in flight: `outcome` is None, and the task's result will be
    the final AttemptResult.
    """

    outcome: AttemptOutcome | None
    reply: Reply | None = None
    continuation: asyncio.Task[AttemptResult] | None = None


NOTHING_SENT = AttemptResult(AttemptOutcome.NOT_RUN)
