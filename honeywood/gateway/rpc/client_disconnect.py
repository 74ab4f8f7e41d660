"""Whether the client of a connection has disconnected, and who is notified of it. No socket, no clock."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable


class ClientDisconnect:
    """The disconnect of one client, shared by all requests of its connection.

    `probe` looks whether the client has disconnected without this process having been notified yet: the end
    of a connection lies unread while its reading is paused, or while the process is late.
    """

    __slots__ = ("_listeners", "disconnected_at", "probe")

    def __init__(self, probe: Callable[[], bool] = lambda: False) -> None:
        """Begin with a client that is connected."""
        self.disconnected_at: float | None = None  # seconds on the loop's clock
        self.probe = probe
        self._listeners: list[Callable[[], None]] = []

    @property
    def happened(self) -> bool:
        """Whether the client is known to have disconnected."""
        return self.disconnected_at is not None

    def notify(self, now: float) -> None:
        """Record the disconnect and call all listeners, the first time only."""
        if self.happened:
            return
        self.disconnected_at = now
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()

    def check(self, now: float) -> bool:
        """Return whether the client has disconnected, probing for an end that has not been read yet."""
        if not self.happened and self.probe():
            self.notify(now)
        return self.happened

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` at the disconnect, once however often it subscribes; at once if it has happened."""
        if self.happened:
            listener()
        elif listener not in self._listeners:
            self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Stop calling `listener`, if it is subscribed."""
        if listener in self._listeners:
            self._listeners.remove(listener)
