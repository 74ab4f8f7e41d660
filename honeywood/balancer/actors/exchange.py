"""One request to a server and its answer."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.actors.server_peer import ServerConnection
    from honeywood.balancer.model import Attempt, Server, Time
    from honeywood.balancer.protocol.http import Response


class Exchange:
    """An attempt's, or where `attempt` is None a probe's of `server`; then `server` is None once it was told.

    `entry_number` is that of the server's list entry for which it was decided.
    """

    __slots__ = (
        "attempt",
        "server",
        "method",
        "data",
        "sent_at",
        "entry_number",
        "connection",
        "written",
        "response",
        "ended",
        "response_began",
    )

    def __init__(
        self, attempt: Attempt | None, server: Server | None, method: str, data: bytes, sent_at: Time
    ) -> None:
        """`data` are the request's bytes."""
        self.attempt, self.server, self.method, self.sent_at = attempt, server, method, sent_at
        self.data: bytes | None = data
        self.entry_number = 0
        self.connection: ServerConnection | None = None
        self.response: Response | None = None
        self.written = self.ended = self.response_began = False

    def finish(self) -> None:
        """It has ended; timers still hold it for a while."""
        self.ended, self.data, self.response = True, None, None
