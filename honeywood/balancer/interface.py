"""The calls between the decisions and whatever hosts them. Nothing is decided here."""

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
    """Is told the reasons of decisions. Nothing is asked of it, and nothing is decided by it."""

    def considered(self, rpc: Rpc, server: Server, exclusion: int) -> None:
        """A server was drawn for an attempt; `exclusion` is an Exclusion, NONE where it may be chosen."""

    def considered_all(self, rpc: Rpc, servers: Sequence[Server], exclusions: Sequence[int]) -> None:
        """None of those drawn could be chosen, so all servers of the group were looked at."""

    def tested(self, now: Time, results: Sequence[ReleaseTestResult]) -> None:
        """The tests behind the vote that follows."""


class Host(Protocol):
    """What the decisions ask of whoever hosts them; `observer` is None where nobody wants their reasons."""

    observer: Observer | None

    def send(self, attempt: Attempt, until: Time) -> None:
        """Send the attempt; it ends as TIMEOUT at `until` at the latest."""

    def reject(self, rpc: Rpc, retry_after: Duration) -> None:
        """Answer the client that its RPC did not run and that it may retry."""

    def abort(self, rpc: Rpc) -> None:
        """Answer the client that its RPC failed; it may have run."""

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt in flight; it ends as CANCELLED."""

    def probe(self, server: Server) -> None:
        """Ask a server for its load."""

    def wake_after(self, delay: Duration) -> None:
        """Call on_timer after this delay."""

    def vote(self, build: int, step: int, vote: Vote) -> None:
        """Vote on a step of a release; the platform's answer comes by on_vote_answered."""

    def watch_servers(self) -> None:
        """Ask discovery for the server list and its changes."""

    def log(self, text: str) -> None:
        """Write a line to the log."""


class Decisions(Protocol):
    """What the host calls, with the time of each call first."""

    @property
    def reject_connections_until(self) -> float:
        """Until then no new client connection is to be taken."""

    def on_start(self, now: Time) -> None:
        """The first call."""

    def on_timer(self, now: Time) -> None:
        """The time asked for by wake_after has come."""

    def on_server_list(self, now: Time, entries: Sequence[ServerEntry], complete: bool) -> None:
        """Changes of the server list, or all of it."""

    def on_server_list_failed(self, now: Time) -> None:
        """Discovery refused the list or ended the watch."""

    def on_release_update(self, now: Time, update: ReleaseUpdate) -> None:
        """The platform told the state of its newest release."""

    def on_vote_answered(self, now: Time, update: ReleaseUpdate | None) -> None:
        """The last vote counts, with the state of the release; or it does not, with None."""

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """A client's RPC has come."""

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """The client has left before its answer."""

    def on_response_started(self, now: Time, attempt: Attempt) -> None:
        """The first of an answer has come, and not yet the last."""

    def on_stream_established(self, now: Time, attempt: Attempt) -> None:
        """The answer is a stream that now is its client's; the RPC needs no final answer."""

    def on_result(
        self,
        now: Time,
        attempt: Attempt,
        result: AttemptResult,
        latency: Duration,
        load: Sequence[float],
        final: bool,
    ) -> None:
        """An attempt has ended; `load` is the server's report, `final` whether the client has its answer."""

    def on_probe_result(
        self, now: Time, server: Server, result: AttemptResult, latency: Duration, load: Sequence[float]
    ) -> None:
        """A probe has ended."""

    def on_incorrect_answer(self, now: Time, server: Server, method: Method) -> None:
        """The platform found an answer of this server wrong."""

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """The platform told what it counted."""
