"""What a recorder of the calls between the decisions and their host is told, each before it is made."""

from __future__ import annotations

from typing import Protocol

from honeywood.balancer.interface import Observer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.model import (
        Attempt,
        AttemptResult,
        Duration,
        Method,
        PlatformCounts,
        ReleaseUpdate,
        Rpc,
        Server,
        ServerEntry,
        Time,
        Vote,
    )


class CallObserver(Observer, Protocol):
    """All calls come on the decisions' thread; none may wait or raise."""

    def on_start(self, now: Time) -> None:
        """The decisions begin."""

    def on_timer(self, now: Time) -> None:
        """They are woken."""

    def on_server_list(
        self, now: Time, revision: int, entries: Sequence[ServerEntry], complete: bool
    ) -> None:
        """They are told the server list, or changes of it."""

    def on_server_list_failed(self, now: Time) -> None:
        """They are told that there is no list."""

    def on_release_update(self, now: Time, update: ReleaseUpdate) -> None:
        """They are told the state of the newest release."""

    def on_vote_answered(self, now: Time, result: AttemptResult, update: ReleaseUpdate | None) -> None:
        """They are told the platform's answer to a vote."""

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """They are told of an RPC."""

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """They are told that a client has left."""

    def on_response_started(self, now: Time, attempt: Attempt) -> None:
        """They are told that an answer has begun."""

    def on_result(
        self, now: Time, attempt: Attempt, result: AttemptResult, load: Sequence[float], final: bool
    ) -> None:
        """They are told how an attempt ended."""

    def on_probe_result(
        self, now: Time, server: Server, result: AttemptResult, latency: Duration, load: Sequence[float]
    ) -> None:
        """They are told how a probe ended."""

    def on_incorrect_answer(self, now: Time, server: Server, method: Method) -> None:
        """They are told of a wrong answer."""

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """They are told what the platform counted."""

    def on_send(self, attempt: Attempt, until: Time) -> None:
        """They have an attempt sent."""

    def on_reject(self, now: Time, rpc: Rpc, retry_after: Duration) -> None:
        """They have an RPC rejected."""

    def on_abort(self, now: Time, rpc: Rpc) -> None:
        """They have an RPC aborted."""

    def on_vote(self, now: Time, build: int, step: int, vote: Vote) -> None:
        """They vote."""

    def on_log(self, now: Time, text: str) -> None:
        """They log a line."""
