"""An actor that keeps one connection standing, over which a peer tells what is new."""

from honeywood.balancer.model import SECOND
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.connection import Connection
from honeywood.balancer.transport.mailbox import Mailbox

SILENT = 10 * SECOND  # without a word or a sign of life for so long it is given up,
PART = SECOND  # and so is one on which what was begun goes on no further
FIRST_WAIT, LONGEST_WAIT = SECOND // 10, 5 * SECOND
DIAL_WITHIN = 1.0  # seconds
MOST_CALLS = 1024


class Watch:
    """Dials, and dials again after a wait that grows while nothing good comes, and is jittered so that fronts
    do not come all at once. Those derived from it say what to send first, begin(), and read what comes,
    read(): they raise `unreadable` where they can't, and call good() where they could. They may override
    lost(), and leave(), what becomes of a connection to an address that is no longer the one."""

    unreadable = ()

    def __init__(self, name, address, gateway):
        self.name, self.address, self.settings = name, address, gateway.settings
        self.log, self.descriptors, self.random = gateway.log, gateway.descriptors, gateway.random
        self.counted = gateway.counters.add
        self.decisions, self.mailbox = gateway.decisions, Mailbox(name, MOST_CALLS, gateway.fail)
        # The one in use, and the one that is being dialled; a third may stand until it is left.
        self.connection = self.coming = None
        self.wait, self.heard = FIRST_WAIT, clock.now()

    def start(self):
        self.mailbox.start()
        self.mailbox.post(self.look)

    def dial(self):
        if self.coming or (self.connection and self.connection.address == self.address):
            return
        if not self.descriptors.take():
            return self.mailbox.after(LONGEST_WAIT, self.dial)
        self.counted(f"{self.name}_dials")
        self.coming = Connection(self, self.mailbox, self.descriptors, self.name)
        self.coming.dial(self.address, DIAL_WITHIN)

    def move(self, address):
        """The peer is to be found elsewhere: what stands is used until the new connection does."""
        if address != self.address:
            self.address, self.wait = address, FIRST_WAIT
            if self.coming:
                self.coming.close("moved")  # comes back by lost()
            self.dial()

    def opened(self, connection):
        old, self.connection, self.coming = self.connection, connection, None
        self.heard = clock.now()
        self.begin(connection)
        if old:
            self.leave(old)

    def leave(self, old):
        old.close("moved")

    def received(self, connection):
        if connection is self.connection:
            self.heard = clock.now()
        try:
            self.read(connection)
        except self.unreadable as bad:
            self.log.warning("unreadable", peer=self.name, what=str(bad)[:200])
            connection.close("unreadable")

    def good(self):
        self.wait = FIRST_WAIT

    def ended(self, connection):
        self.log.info("connection_ended", peer=self.name, id=connection.address[0], code=connection.code)
        if connection is self.coming:
            self.coming = None
        elif connection is self.connection:
            self.connection = None
        else:
            return
        self.lost()

    def lost(self):
        self.mailbox.after(int(self.wait * (0.5 + self.random.random())), self.dial)
        self.wait = min(LONGEST_WAIT, self.wait * 2)

    def look(self):
        quiet = clock.now() - self.heard
        if self.connection and quiet > (PART if len(self.connection.buffer) else SILENT):
            self.connection.close("silent")
        self.mailbox.after(SECOND, self.look)
