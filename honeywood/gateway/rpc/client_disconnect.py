"""Disconnect of a client, and the listeners that are notified of it. Accesses no socket and no clock."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable


class ClientDisconnect:
    """Whether one client has disconnected, shared by all requests of its connection.

    `probe` returns whether the client has disconnected although the event loop has not reported it yet: the
    end of a connection stays unread while reading is paused, or while the process is busy.
    """

    __slots__ = ("_listeners", "disconnected_at", "probe")

    def __init__(self, probe: Callable[[], bool] = lambda: False) -> None:
        """Start with a connected client."""
        self.disconnected_at: float | None = None  # in seconds on the event loop's clock
        self.probe = probe
        self._listeners: list[Callable[[], None]] = []

    @property
    def happened(self) -> bool:
        """Whether the client is known to have disconnected."""
        return self.disconnected_at is not None

    def notify(self, now: float) -> None:
        """Record the disconnect and call all listeners; later calls have no effect."""
        if self.happened:
            return
        self.disconnected_at = now
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()

    def check(self, now: float) -> bool:
        """Return whether the client has disconnected; if that is not known yet, `probe` is called."""
        if not self.happened and self.probe():
            self.notify(now)
        return self.happened

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` once at the disconnect, even if it subscribes repeatedly.

        If the client has already disconnected, `listener` is called immediately.
        """
        if self.happened:
            listener()
        elif listener not in self._listeners:
            self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Remove `listener`, if it is subscribed."""
        if listener in self._listeners:
            self._listeners.remove(listener)
