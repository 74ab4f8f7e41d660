"""Base class of actors that keep one connection open, over which a peer sends updates."""

from __future__ import annotations

from honeywood.balancer.model import SECOND
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.connection import Connection
from honeywood.balancer.transport.mailbox import Mailbox

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywood.balancer.actors.application import Application
    from honeywood.balancer.protocol.discovery import Address

SILENCE_TIMEOUT = 10 * SECOND  # without a message or heartbeat, after which the connection is closed
INCOMPLETE_TIMEOUT = SECOND  # without further bytes of an incomplete message
MIN_BACKOFF, MAX_BACKOFF = SECOND // 10, 5 * SECOND
DIAL_TIMEOUT_S = 1.0
MAX_CALLS = 1024


class Subscription:
    """Dials its peer, and dials again after a backoff when the connection is lost.

    The backoff has jitter, so that many balancers do not reconnect at the same time, and grows until
    on_valid_message() is called. Subclasses implement on_subscribing(), which sends the first message, and
    read(), which processes received bytes and raises one of the exceptions in `invalid` if they are
    malformed. They may override on_lost(), and retire(), which handles the connection to a previous address.
    """

    invalid: tuple[type[Exception], ...] = ()
    connection_class: type[Connection] = Connection

    def __init__(self, name: str, address: Address, application: Application) -> None:
        """Create the actor; `name` appears in logs and counters."""
        self.name, self.address, self.settings = name, address, application.settings
        self.log, self._descriptors = application.log, application.descriptors
        self._random, self._count = application.random, application.counters.add
        self.decisions, self.mailbox = application.decisions, Mailbox(name, MAX_CALLS, application.fail)
        # The current connection and the one being dialled; a replaced one may stay open, see retire().
        self.connection: Any = None
        self._dialling: Any = None
        self._backoff, self._last_received_at = MIN_BACKOFF, clock.now()

    def start(self) -> None:
        """Start the thread of the mailbox."""
        self.mailbox.start()
        self.mailbox.post(self._check_timeouts)

    # Posted by other actors.
    def dial(self) -> None:
        """Connect, unless it is connected to the current address or dialling."""
        if self._dialling or (self.connection and self.connection.address == self.address):
            return
        if not self._descriptors.take():
            self.mailbox.after(MAX_BACKOFF, self.dial)
            return
        self._count(f"{self.name}_dials")
        self._dialling = self.connection_class(self, self.mailbox, self._descriptors, self.name)
        self._dialling.dial(self.address, DIAL_TIMEOUT_S)

    def change_address(self, address: Address) -> None:
        """Use another address of the peer; the old connection stays in use until the new one is open."""
        if address != self.address:
            self.address, self._backoff = address, MIN_BACKOFF
            if self._dialling:
                self._dialling.close("moved")  # on_closed() then calls on_lost(), which dials again
            self.dial()

    # Called by its connections.
    def on_open(self, connection: Any) -> None:
        """A connection is established: it replaces the previous one."""
        old, self.connection, self._dialling = self.connection, connection, None
        self._last_received_at = clock.now()
        self.on_subscribing(connection)
        if old:
            self.retire(old)

    def on_data(self, connection: Any) -> None:
        """Process the bytes that have arrived; a malformed message closes the connection."""
        if connection is self.connection:
            self._last_received_at = clock.now()
        try:
            self.read(connection)
        except self.invalid as error:
            self.log.warning("unreadable", peer=self.name, what=str(error)[:200])
            connection.close("unreadable")

    def on_closed(self, connection: Any) -> None:
        """A connection has ended: on_lost() is called if it was current or being dialled."""
        self.log.info("connection_ended", peer=self.name, id=connection.address[0], code=connection.code)
        if connection is self._dialling:
            self._dialling = None
        elif connection is self.connection:
            self.connection = None
        else:
            return
        self.on_lost()

    # Implemented or overridden by subclasses.
    def on_subscribing(self, connection: Any) -> None:
        """Send the first message on a new connection."""
        raise NotImplementedError

    def read(self, connection: Any) -> None:
        """Process the bytes in the buffer. Raises one of `invalid`."""
        raise NotImplementedError

    def on_valid_message(self) -> None:
        """Reset the backoff, since the peer works."""
        self._backoff = MIN_BACKOFF

    def retire(self, connection: Any) -> None:
        """Close a connection that was replaced."""
        connection.close("moved")

    def on_lost(self) -> None:
        """Dial again after the backoff."""
        self.mailbox.after(int(self._backoff * (0.5 + self._random.random())), self.dial)
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)

    def _check_timeouts(self) -> None:
        silence = clock.now() - self._last_received_at
        if self.connection:
            incomplete = len(self.connection.buffer) > 0
            if silence > (INCOMPLETE_TIMEOUT if incomplete else SILENCE_TIMEOUT):
                self.connection.close("silent")
        self.mailbox.after(SECOND, self._check_timeouts)
