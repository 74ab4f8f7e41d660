"""Client of the platform: receives its notifications and sends it votes over one subscribed connection.

The platform answers the calls of a connection in the order in which they were sent.
"""

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

RETIREMENT_TIME = 3 * SECOND  # for a replaced connection to answer its pending calls


class PendingCall:
    """A vote or, if `vote` is None, a subscription that waits for its answer.

    `answered` is True once the answer has arrived or has timed out.
    """

    __slots__ = ("vote", "answered")

    def __init__(self, vote: tuple[int, int, Vote] | None = None) -> None:
        """Create a pending call; `vote` is (build, step, vote)."""
        self.vote, self.answered = vote, False


class PlatformConnection(Connection):
    """A connection to the platform, with the calls made on it that are not answered yet."""

    def __init__(self, *arguments: Any) -> None:
        """Create a connection; the arguments are those of Connection."""
        super().__init__(*arguments)
        self.calls: deque[PendingCall] = deque()
        self.is_subscribed = False


class PlatformClient(Subscription):
    """Sends votes on the current connection and takes notifications from the subscribed one."""

    invalid = (platform.InvalidLine,)
    connection_class = PlatformConnection

    def __init__(self, address: Address, application: Application) -> None:
        """Create the client and start to connect."""
        super().__init__("platform", address, application)
        self._directory, self._steps = application.directory, len(self.settings.waves)
        self.start()
        self.mailbox.post(self.dial)

    # Posted by the decisions' host.
    def vote(self, build: int, step: int, vote: Vote) -> None:
        """Send a vote.

        A vote that cannot be written ends as ERROR, since it was not carried out. One that is not answered in
        time ends as TIMEOUT, since it may have been.
        """
        call, connection = PendingCall((build, step, vote)), self.connection
        if not connection or not connection.write(platform.ballot(build, step, vote)):
            return self._on_vote_answered(call, AttemptResult.ERROR, None)
        connection.calls.append(call)
        return self.mailbox.after(
            self.settings.vote_timeout, self._on_vote_answered, call, AttemptResult.TIMEOUT, None
        )

    # Called by its connections.
    def on_subscribing(self, connection: PlatformConnection) -> None:
        """Subscribe to the platform's notifications.

        Until the subscription is confirmed, notifications are taken from the previous connection, so that
        none is lost or counted twice.
        """
        connection.calls.append(PendingCall())
        connection.write(platform.SUBSCRIBE)

    def retire(self, connection: PlatformConnection) -> None:
        """Close a replaced connection after a delay, in which it may still answer votes."""
        self.mailbox.after(RETIREMENT_TIME, connection.close, "moved")

    def read(self, connection: PlatformConnection) -> None:
        """Process the complete lines in the buffer."""
        while not connection.code and (words := platform.read_line(connection.buffer)) is not None:
            if words[0] == "*":
                self._on_notification(connection, words[1:])
            else:
                self._on_answer(connection, words)

    def on_closed(self, connection: PlatformConnection) -> None:
        """Report unanswered votes as TIMEOUT, since they may have been carried out."""
        while connection.calls:
            self._on_vote_answered(connection.calls.popleft(), AttemptResult.TIMEOUT, None)
        super().on_closed(connection)

    # Internal.
    def _on_answer(self, connection: PlatformConnection, words: Sequence[str]) -> None:
        """Process the answer to the oldest pending call of a connection. Raises InvalidLine."""
        if not connection.calls:
            raise platform.InvalidLine(f"an answer without a pending call: {words}")
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
        """Report the result of a vote once; a later answer counts only as a release update."""
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

    def _on_notification(self, connection: PlatformConnection, words: Sequence[str]) -> None:
        """Process a notification; one without words is a heartbeat. Raises InvalidLine."""
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
            answer = platform.parse_incorrect_answer(rest)
            self._directory.mailbox.post(self._directory.on_incorrect_answer, answer.server, answer.method)
        else:
            raise platform.InvalidLine(f"unknown notification {kind}")
