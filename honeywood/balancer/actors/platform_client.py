"""The platform: one subscribed connection that tells its news and answers our votes in their order."""

from __future__ import annotations

from collections import deque

from honeywood.balancer.actors.subscription import Subscription
from honeywood.balancer.model import SECOND, AttemptResult
from honeywood.balancer.protocol import platform
from honeywood.balancer.transport.connection import Connection

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from honeywood.balancer.actors.application import Application
    from honeywood.balancer.model import ReleaseUpdate, Vote
    from honeywood.balancer.protocol.discovery import Address

RETIREMENT = 3 * SECOND  # so long a connection that was left may still answer what was called on it


class PendingCall:
    """A vote, or without one the subscription, that has no answer yet; `answered` once it has or is late."""

    __slots__ = ("vote", "answered")

    def __init__(self, vote: tuple[int, int, Vote] | None = None) -> None:
        """A vote is (build, step, vote)."""
        self.vote, self.answered = vote, False


class PlatformConnection(Connection):
    """What was called on a connection and has no answer yet stays with it."""

    def __init__(self, *arguments: Any) -> None:
        """As for a connection."""
        super().__init__(*arguments)
        self.calls: deque[PendingCall] = deque()
        self.is_subscribed = False


class PlatformClient(Subscription):
    """Votes are called on the connection in use; news come on the one that is subscribed."""

    invalid = (platform.InvalidLine,)
    connection_class = PlatformConnection

    def __init__(self, address: Address, application: Application) -> None:
        """It connects at once."""
        super().__init__("platform", address, application)
        self._directory, self._steps = application.directory, len(self.settings.waves)
        self.start()
        self.mailbox.post(self.dial)

    # What the decisions' host posts.
    def vote(self, build: int, step: int, vote: Vote) -> None:
        """A vote that cannot be written was not carried out; one without an answer in time may have been."""
        call, connection = PendingCall((build, step, vote)), self.connection
        if not connection or not connection.write(platform.ballot(build, step, vote)):
            return self._on_vote_answered(call, AttemptResult.ERROR, None)
        connection.calls.append(call)
        return self.mailbox.after(
            self.settings.vote_timeout, self._on_vote_answered, call, AttemptResult.TIMEOUT, None
        )

    # What its connections tell.
    def on_subscribing(self, connection: PlatformConnection) -> None:
        """Subscribe.

        Until that is answered, the connection before tells the news: none is lost between the two, and none
        counts twice.
        """
        connection.calls.append(PendingCall())
        connection.write(platform.SUBSCRIBE)

    def retire(self, connection: PlatformConnection) -> None:
        """It may still answer votes for a while."""
        self.mailbox.after(RETIREMENT, connection.close, "moved")

    def read(self, connection: PlatformConnection) -> None:
        """Take over the lines that have come."""
        while not connection.code and (words := platform.read_line(connection.buffer)) is not None:
            if words[0] == "*":
                self._on_news(connection, words[1:])
            else:
                self._on_answer(connection, words)

    def on_closed(self, connection: PlatformConnection) -> None:
        """Votes without an answer may have been carried out."""
        while connection.calls:
            self._on_vote_answered(connection.calls.popleft(), AttemptResult.TIMEOUT, None)
        super().on_closed(connection)

    # Its own.
    def _on_answer(self, connection: PlatformConnection, words: Sequence[str]) -> None:
        """The answer to the first of the calls on a connection."""
        if not connection.calls:
            raise platform.InvalidLine(f"an answer to nothing: {words}")
        call = connection.calls[0]
        result, update = platform.parse_reply(words, self._steps, bare=call.vote is None)
        connection.calls.popleft()
        if call.vote is not None:
            self._on_vote_answered(call, result, update)
        elif result != AttemptResult.OK:
            connection.close("not_subscribed")
        else:
            connection.is_subscribed = True

    def _on_vote_answered(
        self, call: PendingCall, result: AttemptResult, update: ReleaseUpdate | None
    ) -> None:
        """The first that is known of a vote goes to the decisions; a late answer is news like any other."""
        if call.vote and not call.answered:
            call.answered = True
            build, step, vote = call.vote
            self.log.info(
                "vote",
                build=build,
                step=step,
                verdict=platform.VOTES[vote],
                result=platform.RESULTS[result],
            )
            self.decisions.post(self.decisions.on_vote_answered, result, update)
        elif update:
            self.decisions.post(self.decisions.on_release_update, update)

    def _on_news(self, connection: PlatformConnection, words: Sequence[str]) -> None:
        """A line that answers nothing; one without words is a heartbeat."""
        if connection is self.connection:
            self.on_valid_message()
        elif self.connection and self.connection.is_subscribed:
            return
        if not words:
            return
        kind, rest = words[0], words[1:]
        if kind == "stage":
            update = platform.parse_update(rest, self._steps)
            self.decisions.post(self.decisions.on_release_update, update)
        elif kind == "tally":
            self.decisions.post(self.decisions.on_platform_counts, platform.parse_counts(rest))
        elif kind == "flag":
            wrong = platform.parse_incorrect_answer(rest)
            self._directory.mailbox.post(self._directory.on_incorrect_answer, wrong.server, wrong.method)
        else:
            raise platform.InvalidLine(f"news {kind}")
