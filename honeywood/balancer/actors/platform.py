"""The platform: one subscribed connection that tells its news and answers our votes in their order."""

from collections import deque

from honeywood.balancer.model import SECOND, AttemptResult
from honeywood.balancer.protocol import platform
from honeywood.balancer.actors.watch import Watch

ANSWERED = 3 * SECOND  # so long a connection that was left may still answer what was called on it


class Platform(Watch):
    unreadable = platform.InvalidLine

    def __init__(self, address, gateway):
        super().__init__("platform", address, gateway)
        self.roster, self.steps = gateway.roster, len(self.settings.waves)
        self.subscribing = []  # stands for the first call on a connection, which tells of no vote
        self.start()
        self.mailbox.post(self.dial)

    # What the module posts.
    def vote(self, build, step, verdict):
        """A vote that can't be written was not carried out; one without an answer in time may have been."""
        call, connection = [(build, step, platform.VOTES[verdict])], self.connection
        if not connection or not connection.write(platform.ballot(build, step, verdict)):
            return self.reply(call, AttemptResult.ERROR, None)
        connection.calls.append(call)
        self.mailbox.after(self.settings.vote_timeout, self.reply, call, AttemptResult.TIMEOUT, None)

    def reply(self, call, result, state):
        """The first that is known of a call goes to the module; a late answer is news like any other."""
        if call:
            build, step, verdict = call.pop()
            self.log.info("vote", build=build, step=step, verdict=verdict, result=platform.RESULTS[result])
            self.decisions.post(self.decisions.on_vote_answered, result, state)
        elif state:
            self.decisions.post(self.decisions.on_release_update, state)

    # What its connections tell.
    def begin(self, connection):
        """What was called on a connection and has no answer yet stays with it. Until it is subscribed, the
        one before tells the news: none is lost between the two, and none counts twice."""
        connection.calls, connection.telling = deque([self.subscribing]), False
        connection.write(platform.SUBSCRIBE)

    def leave(self, old):
        self.mailbox.after(ANSWERED, old.close, "moved")

    def read(self, connection):
        while not connection.code and (words := platform.read_line(connection.buffer)) is not None:
            if words[0] == "*":
                self.told(connection, *words[1:])
            else:
                self.answered(connection, words)

    def answered(self, connection, words):
        if not connection.calls:
            raise platform.InvalidLine(f"an answer to nothing: {words}")
        call = connection.calls[0]
        result, state = platform.parse_reply(words, self.steps, call is self.subscribing)
        connection.calls.popleft()
        if call is not self.subscribing:
            return self.reply(call, result, state)
        if result != AttemptResult.OK:
            return connection.close("not_subscribed")
        connection.telling = True

    def told(self, connection, kind=None, *words):
        if connection is self.connection:
            self.good()
        elif self.connection and self.connection.telling:
            return
        if kind == "stage":
            self.decisions.post(self.decisions.on_release_update, platform.parse_update(words, self.steps))
        elif kind == "tally":
            self.decisions.post(self.decisions.on_platform_counts, platform.parse_counts(words))
        elif kind == "flag":
            self.roster.mailbox.post(self.roster.flagged, *platform.parse_wrong_answer(words))
        elif kind is not None:
            raise platform.InvalidLine(f"news {kind}")

    def ended(self, connection):
        while connection.calls:
            self.reply(connection.calls.popleft(), AttemptResult.TIMEOUT, None)
        super().ended(connection)
