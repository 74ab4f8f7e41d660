"""An actor that keeps one connection standing, over which a peer tells what is new."""

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

SILENCE_TIMEOUT = 10 * SECOND  # without a message or heartbeat for so long it is given up,
INCOMPLETE_TIMEOUT = SECOND  # and so is one on which a message that was begun goes on no further
MIN_BACKOFF, MAX_BACKOFF = SECOND // 10, 5 * SECOND
DIAL_TIMEOUT_S = 1.0
MAX_CALLS = 1024


class Subscription:
    """Dials, and dials again after a backoff, jittered so that balancers do not come all at once.

    The backoff grows until on_valid_message() is called. Classes derived from it say what to send first,
    on_subscribing(), and read what comes, read(), which raises one of `invalid` where it cannot. They may
    override on_lost(), and retire(), what becomes of a connection to an address that is no longer the one.
    """

    invalid: tuple[type[Exception], ...] = ()
    connection_class: type[Connection] = Connection

    def __init__(self, name: str, address: Address, application: Application) -> None:
        """`name` stands in logs and counters."""
        self.name, self.address, self.settings = name, address, application.settings
        self.log, self._descriptors = application.log, application.descriptors
        self._random, self._count = application.random, application.counters.add
        self.decisions, self.mailbox = application.decisions, Mailbox(name, MAX_CALLS, application.fail)
        # The one in use, and the one that is being dialled; a third may stand until it is retired.
        self.connection: Any = None
        self._dialling: Any = None
        self._backoff, self._heard_at = MIN_BACKOFF, clock.now()

    def start(self) -> None:
        """Begin to make calls."""
        self.mailbox.start()
        self.mailbox.post(self._check_timeouts)

    # What others post.
    def dial(self) -> None:
        """Connect, unless it does so or is."""
        if self._dialling or (self.connection and self.connection.address == self.address):
            return
        if not self._descriptors.take():
            self.mailbox.after(MAX_BACKOFF, self.dial)
            return
        self._count(f"{self.name}_dials")
        self._dialling = self.connection_class(self, self.mailbox, self._descriptors, self.name)
        self._dialling.dial(self.address, DIAL_TIMEOUT_S)

    def move(self, address: Address) -> None:
        """The peer is to be found elsewhere: what stands is used until the new connection does."""
        if address != self.address:
            self.address, self._backoff = address, MIN_BACKOFF
            if self._dialling:
                self._dialling.close("moved")  # comes back by on_lost()
            self.dial()

    # What its connections tell.
    def on_open(self, connection: Any) -> None:
        """A connection stands, and takes the place of the one before."""
        old, self.connection, self._dialling = self.connection, connection, None
        self._heard_at = clock.now()
        self.on_subscribing(connection)
        if old:
            self.retire(old)

    def on_data(self, connection: Any) -> None:
        """Something has come."""
        if connection is self.connection:
            self._heard_at = clock.now()
        try:
            self.read(connection)
        except self.invalid as error:
            self.log.warning("unreadable", peer=self.name, what=str(error)[:200])
            connection.close("unreadable")

    def on_closed(self, connection: Any) -> None:
        """A connection has ended."""
        self.log.info("connection_ended", peer=self.name, id=connection.address[0], code=connection.code)
        if connection is self._dialling:
            self._dialling = None
        elif connection is self.connection:
            self.connection = None
        else:
            return
        self.on_lost()

    # What derived classes say.
    def on_subscribing(self, connection: Any) -> None:
        """Send what is to be sent first."""
        raise NotImplementedError

    def read(self, connection: Any) -> None:
        """Read what has come."""
        raise NotImplementedError

    def on_valid_message(self) -> None:
        """The peer is well: the backoff begins anew."""
        self._backoff = MIN_BACKOFF

    def retire(self, connection: Any) -> None:
        """Another has taken its place."""
        connection.close("moved")

    def on_lost(self) -> None:
        """There is no connection."""
        self.mailbox.after(int(self._backoff * (0.5 + self._random.random())), self.dial)
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)

    def _check_timeouts(self) -> None:
        silence = clock.now() - self._heard_at
        if self.connection:
            incomplete = len(self.connection.buffer) > 0
            if silence > (INCOMPLETE_TIMEOUT if incomplete else SILENCE_TIMEOUT):
                self.connection.close("silent")
        self.mailbox.after(SECOND, self._check_timeouts)
