"""The interface of a recorder of the calls between the decisions and their host."""

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
    """Is called before each call that it records, on the decisions' thread; must not block or raise."""

    def on_start(self, now: Time) -> None:
        """The decisions are started."""

    def on_timer(self, now: Time) -> None:
        """A timer of the decisions has expired."""

    def on_server_list(
        self, now: Time, revision: int, entries: Sequence[ServerEntry], complete: bool
    ) -> None:
        """The decisions get the server list, or changes to it."""

    def on_server_list_failed(self, now: Time) -> None:
        """The decisions are informed that the server list is not available."""

    def on_release_update(self, now: Time, update: ReleaseUpdate) -> None:
        """The decisions get the state of the newest release."""

    def on_vote_answered(self, now: Time, result: AttemptResult, update: ReleaseUpdate | None) -> None:
        """The decisions get the platform's answer to a vote."""

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """The decisions get a new RPC."""

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """The decisions are informed that a client has disconnected."""

    def on_response_started(self, now: Time, attempt: Attempt) -> None:
        """The decisions are informed that an answer has begun."""

    def on_result(
        self, now: Time, attempt: Attempt, result: AttemptResult, load: Sequence[float], final: bool
    ) -> None:
        """The decisions get the result of an attempt."""

    def on_probe_result(
        self, now: Time, server: Server, result: AttemptResult, latency: Duration, load: Sequence[float]
    ) -> None:
        """The decisions get the result of a probe."""

    def on_incorrect_answer(self, now: Time, server: Server, method: Method) -> None:
        """The decisions are informed of an incorrect answer."""

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """The decisions get the platform's counts."""

    def on_send(self, attempt: Attempt, until: Time) -> None:
        """The decisions send an attempt."""

    def on_reject(self, now: Time, rpc: Rpc, retry_after: Duration) -> None:
        """The decisions reject an RPC."""

    def on_abort(self, now: Time, rpc: Rpc) -> None:
        """The decisions abort an RPC."""

    def on_vote(self, now: Time, build: int, step: int, vote: Vote) -> None:
        """The decisions vote."""

    def on_log(self, now: Time, text: str) -> None:
        """The decisions log a line."""
