"""Whether the client of a connection has left, and who is to hear of it. No socket, no clock."""

from collections.abc import Callable


class ClientDeparture:
    """One client's leaving, shared by all requests of its connection.

    `probe` looks whether the client has left without this process having heard of it yet: the end of a
    connection lies unread while its reading is paused, or while the process is late.
    """

    __slots__ = ("left_at", "probe", "_listeners")

    def __init__(self, probe: Callable[[], bool] = lambda: False):
        self.left_at: float | None = None  # seconds on the loop's clock
        self.probe = probe
        self._listeners: list[Callable[[], None]] = []

    @property
    def gone(self) -> bool:
        """Whether the client is known to have left."""
        return self.left_at is not None

    def announce(self, now: float) -> None:
        """The client has left; tells all listeners, once."""
        if self.gone:
            return
        self.left_at = now
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()

    def check(self, now: float) -> bool:
        """Whether the client has left, also where that has not been heard yet."""
        if not self.gone and self.probe():
            self.announce(now)
        return self.gone

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` when the client leaves, once however often it subscribes: at once where it has."""
        if self.gone:
            listener()
        elif listener not in self._listeners:
            self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """`listener` needs to hear no more."""
        if listener in self._listeners:
            self._listeners.remove(listener)
