"""An actor that keeps one connection standing, over which a peer tells what is new."""
from honeywood.interface import SECOND
from honeywood.transport import clock
from honeywood.transport.connection import Connection
from honeywood.transport.mailbox import Mailbox

SILENT = 10 * SECOND           # without a word or a sign of life for so long it is given up
FIRST_WAIT, LONGEST_WAIT = SECOND // 10, 5 * SECOND
DIAL_WITHIN = 1.0              # seconds
MOST_CALLS = 256


class Watch:
    """Dials, and dials again after a wait that grows while nothing good comes, and is jittered so that fronts
    do not come all at once. Those derived from it say what to send first, begin(), and read what comes,
    read(): they raise `unreadable` where they can't, and call good() where they could. They may override
    lost()."""

    unreadable = ()

    def __init__(self, name, address, gateway):
        self.name, self.address, self.settings = name, address, gateway.settings
        self.log, self.descriptors, self.random = gateway.log, gateway.descriptors, gateway.random
        self.module, self.mailbox = gateway.module, Mailbox(name, MOST_CALLS, gateway.fail)
        self.connection, self.open, self.wait, self.heard = None, False, FIRST_WAIT, clock.now()

    def start(self):
        self.mailbox.start()
        self.mailbox.post(self.look)

    def dial(self):
        if self.connection:
            return
        if not self.descriptors.take():
            return self.mailbox.after(LONGEST_WAIT, self.dial)
        self.connection = Connection(self, self.mailbox, self.descriptors, self.name)
        self.connection.dial(self.address, DIAL_WITHIN)

    def opened(self, connection):
        self.open, self.heard = True, clock.now()
        self.begin(connection)

    def received(self, connection):
        self.heard = clock.now()
        try:
            self.read(connection)
        except self.unreadable as bad:
            self.log.warning("unreadable", peer=self.name, what=str(bad))
            connection.close("unreadable")

    def good(self):
        self.wait = FIRST_WAIT

    def ended(self, connection):
        self.log.info("connection_ended", peer=self.name, id=self.address[0], code=connection.code)
        self.connection, self.open = None, False
        self.lost()

    def lost(self):
        self.mailbox.after(int(self.wait * (0.5 + self.random.random())), self.dial)
        self.wait = min(LONGEST_WAIT, self.wait * 2)

    def look(self):
        if self.open and clock.now() - self.heard > SILENT:
            self.connection.close("silent")
        self.mailbox.after(SECOND, self.look)
