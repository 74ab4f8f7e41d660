"""The platform: one subscribed connection that tells its news and answers our votes in their order."""
from collections import deque

from honeywood.interface import ERROR, OK, TIMEOUT
from honeywood.protocol import platform
from honeywood.routing.watch import Watch


class Platform(Watch):
    unreadable = platform.BadLine

    def __init__(self, address, gateway):
        super().__init__("platform", address, gateway)
        self.roster, self.steps = gateway.roster, len(self.settings.waves)
        self.subscribing = []      # stands for the first call on a connection, which tells of no vote
        self.calls = deque()       # what was called on this connection and has no answer yet
        self.start()
        self.mailbox.post(self.dial)

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
    def begin(self, connection):
        connection.write(platform.SUBSCRIBE)
        self.calls.append(self.subscribing)

    def read(self, connection):
        while (words := platform.line(connection.buffer)) is not None:
            if words[0] == "*":
                self.told(*words[1:])
            else:
                self.answered(words)

    def answered(self, words):
        if not self.calls:
            raise platform.BadLine(f"an answer to nothing: {words}")
        call, (result, state) = self.calls.popleft(), platform.reply(words, self.steps)
        if call is self.subscribing and result != OK:
            return self.connection.close("not_subscribed")
        self.reply(call, result, state)

    def told(self, kind=None, *words):
        self.good()
        try:
            if kind == "stage":
                self.module.post(self.module.news, platform.state(words, self.steps))
            elif kind == "tally":
                self.module.post(self.module.tallied, *platform.tally(words))
            elif kind == "flag":
                self.roster.mailbox.post(self.roster.flagged, *platform.flag(words))
        except platform.BadLine as bad:
            self.log.warning("odd_news", peer="platform", what=str(bad))

    def lost(self):
        while self.calls:
            self.reply(self.calls.popleft(), TIMEOUT, None)
        super().lost()
