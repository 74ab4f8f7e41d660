"""The platform: one subscribed connection that tells its news and answers our votes in their order."""
from collections import deque

from honeywood.interface import ERROR, OK, SECOND, TIMEOUT
from honeywood.protocol import platform
from honeywood.transport import clock
from honeywood.transport.connection import Connection
from honeywood.transport.mailbox import Mailbox

SILENT = 10 * SECOND           # without a sign of life for so long the connection is given up
FIRST_WAIT, LONGEST_WAIT = SECOND // 10, 5 * SECOND
MOST_CALLS = 256


class PlatformPeer:
    def __init__(self, address, gateway):
        self.address, self.settings = address, gateway.settings
        self.module, self.roster = gateway.module, gateway.roster
        self.log, self.descriptors, self.random = gateway.log, gateway.descriptors, gateway.random
        self.mailbox = Mailbox("platform", MOST_CALLS, gateway.fail)
        self.connection, self.open, self.wait, self.heard = None, False, FIRST_WAIT, clock.now()
        self.subscribing = []      # stands for the first call on a connection, which tells of no vote
        self.calls = deque()       # what was called on this connection and has no answer yet
        self.mailbox.start()
        self.mailbox.post(self.dial)
        self.mailbox.post(self.look)

    def dial(self):
        if not self.descriptors.take():
            return self.mailbox.after(LONGEST_WAIT, self.dial)
        self.connection = Connection(self, self.mailbox, self.descriptors, "platform")
        self.connection.dial(self.address, 1.0)

    # What the module posts.
    def vote(self, build, step, verdict):
        """A vote that can't be written was not carried out; one without an answer in time may have been."""
        call = [(build, step, platform.VERDICTS[verdict])]
        if not self.open or not self.connection.write(platform.ballot(build, step, verdict)):
            return self.reply(call, ERROR, None)
        self.calls.append(call)
        self.mailbox.after(self.settings.vote_wait, self.reply, call, TIMEOUT, None)

    def reply(self, call, result, state):
        """The first that is known of a call goes to the module; a late answer is news like any other."""
        if call:
            build, step, verdict = call.pop()
            self.log.info("vote", build=build, step=step, verdict=verdict, result=platform.RESULTS[result])
            self.module.post(self.module.voted, result, state)
        elif state:
            self.module.post(self.module.news, state)

    # What its connection tells.
    def opened(self, connection):
        self.open, self.heard = True, clock.now()
        connection.write(platform.SUBSCRIBE)
        self.calls.append(self.subscribing)

    def received(self, connection):
        self.heard = clock.now()
        try:
            while (words := platform.line(connection.buffer)) is not None:
                self.told(words)
        except platform.BadLine as bad:
            self.log.warning("unreadable_line", peer="platform", what=str(bad))
            connection.close("unreadable_line")

    def told(self, words):
        if words[0] != "*":
            if not self.calls:
                raise platform.BadLine(f"an answer to nothing: {words}")
            call, (result, state) = self.calls.popleft(), platform.reply(words)
            if call is self.subscribing and result != OK:
                return self.connection.close("not_subscribed")
            return self.reply(call, result, state)
        self.wait = FIRST_WAIT
        try:
            kind, rest = (words[1], words[2:]) if len(words) > 1 else (None, ())
            if kind == "stage":
                self.module.post(self.module.news, platform.state(rest))
            elif kind == "tally":
                self.module.post(self.module.tallied, *platform.tally(rest))
            elif kind == "flag":
                self.roster.mailbox.post(self.roster.flagged, *platform.flag(rest))
        except platform.BadLine as bad:
            self.log.warning("odd_news", peer="platform", what=str(bad))

    def ended(self, connection):
        self.log.info("connection_ended", peer="platform", id=self.address[0], code=connection.code)
        self.open = False
        while self.calls:
            self.reply(self.calls.popleft(), TIMEOUT, None)
        self.mailbox.after(int(self.wait * (0.5 + self.random.random())), self.dial)
        self.wait = min(LONGEST_WAIT, self.wait * 2)

    def look(self):
        if self.open and clock.now() - self.heard > SILENT:
            self.connection.close("silent")
        self.mailbox.after(SECOND, self.look)
