"""The interfaces between the decisions and their host."""

from __future__ import annotations

from typing import Protocol

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.model import (
        Attempt,
        AttemptResult,
        Duration,
        Method,
        PlatformCounts,
        ReleaseTestResult,
        ReleaseUpdate,
        Rpc,
        Server,
        ServerEntry,
        Time,
        Vote,
    )


class Observer(Protocol):
    """Receives the reasons for decisions, without any influence on them."""

    def considered(self, rpc: Rpc, server: Server, exclusion: int) -> None:
        """A server was drawn for an attempt; `exclusion` is an Exclusion, NONE if it may be chosen."""

    def considered_all(self, rpc: Rpc, servers: Sequence[Server], exclusions: Sequence[int]) -> None:
        """None of the drawn servers could be chosen, so all servers of the group were considered."""

    def tested(self, now: Time, results: Sequence[ReleaseTestResult]) -> None:
        """The results of the tests on which the next vote is based."""


class Host(Protocol):
    """The calls that the decisions make to their host; `observer` is None if their reasons are not needed."""

    observer: Observer | None

    def send(self, attempt: Attempt, until: Time) -> None:
        """Send the attempt; it ends with TIMEOUT at `until` at the latest."""

    def reject(self, rpc: Rpc, retry_after: Duration) -> None:
        """Answer the client that its RPC did not run and that it may retry."""

    def abort(self, rpc: Rpc) -> None:
        """Answer the client that its RPC failed; it may have run."""

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt in flight; it ends with CANCELLED."""

    def probe(self, server: Server) -> None:
        """Request a load report from a server."""

    def wake_after(self, delay: Duration) -> None:
        """Call on_timer after this delay."""

    def vote(self, build: int, step: int, vote: Vote) -> None:
        """Vote on a step of a release; the platform's answer is passed to on_vote_answered."""

    def watch_servers(self) -> None:
        """Request the server list and its changes from discovery."""

    def log(self, text: str) -> None:
        """Write a line to the log."""


class Decisions(Protocol):
    """The calls that the host makes to the decisions; the first argument is the time of the call."""

    @property
    def reject_connections_until(self) -> float:
        """Time until which the host must not accept new client connections."""

    def on_start(self, now: Time) -> None:
        """The host starts; this is the first call."""

    def on_timer(self, now: Time) -> None:
        """The delay of wake_after has passed."""

    def on_server_list(self, now: Time, entries: Sequence[ServerEntry], complete: bool) -> None:
        """The server list has changed; `entries` are the changes, or the complete list."""

    def on_server_list_failed(self, now: Time) -> None:
        """Discovery refused the list or ended the watch."""

    def on_release_update(self, now: Time, update: ReleaseUpdate) -> None:
        """The platform reported the state of its newest release."""

    def on_vote_answered(self, now: Time, update: ReleaseUpdate | None) -> None:
        """The platform answered the last vote; `update` is None if it did not accept the vote."""

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """A client's RPC has arrived."""

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """The client has disconnected before its answer."""

    def on_response_started(self, now: Time, attempt: Attempt) -> None:
        """The first part of an answer has arrived; the rest is still to come."""

    def on_stream_established(self, now: Time, attempt: Attempt) -> None:
        """The answer is a stream that has been handed over to the client; the RPC needs no final answer."""

    def on_result(
        self,
        now: Time,
        attempt: Attempt,
        result: AttemptResult,
        latency: Duration,
        load: Sequence[float],
        final: bool,
    ) -> None:
        """An attempt has ended.

        `load` is the server's load report; `final` is True if the client has its answer.
        """

    def on_probe_result(
        self, now: Time, server: Server, result: AttemptResult, latency: Duration, load: Sequence[float]
    ) -> None:
        """A probe has ended."""

    def on_incorrect_answer(self, now: Time, server: Server, method: Method) -> None:
        """The platform reported an answer of this server as incorrect."""

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """The platform reported its counts."""
