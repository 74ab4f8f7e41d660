"""One request to a server and its response."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.actors.server_peer import ServerConnection
    from honeywood.balancer.model import Attempt, Server, Time
    from honeywood.balancer.protocol.http import Response


class Exchange:
    """The request and response of an attempt or a probe.

    Attributes:
        attempt: the attempt; None for a probe.
        server: the probed server; None for an attempt, and once the result of the probe was reported.
        entry_number: the number of the server's list entry at the time of sending.
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
        """Create an exchange that is not sent yet; `data` holds the bytes of the request."""
        self.attempt, self.server, self.method, self.sent_at = attempt, server, method, sent_at
        self.data: bytes | None = data
        self.entry_number = 0
        self.connection: ServerConnection | None = None
        self.response: Response | None = None
        self.written = self.ended = self.response_began = False

    def finish(self) -> None:
        """Mark it as ended and free its data, since timers still refer to it for a while."""
        self.ended, self.data, self.response = True, None, None
