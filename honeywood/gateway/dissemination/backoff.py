"""Exponential backoff with jitter for peers that don't answer.

This module performs no I/O: times and randomness come from the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

INITIAL_DELAY_S = 0.1
MULTIPLIER = 2.0  # of the delay with each further failure
MIN_JITTER = 0.5  # smallest fraction of a delay that is waited


@dataclass(frozen=True, slots=True)
class PeerDelay:
    """The time until which a peer is not polled, and the length of its latest delay before jitter."""

    until: float = 0.0
    delay_s: float = INITIAL_DELAY_S / MULTIPLIER


class Backoff:
    """The delays of peers by address: each failure doubles a peer's delay, up to `max_delay_s`.

    Jitter shortens each delay by up to half, so that not all programs poll a peer at once when it recovers.
    """

    def __init__(self, random: Random, max_delay_s: float) -> None:
        """Initially no peer has failed."""
        self.random = random
        self.max_delay_s = max_delay_s
        self.delays: dict[str, PeerDelay] = {}

    def record_success(self, peer: str, resume_at: float = 0.0) -> None:
        """Records that a peer has answered, so that its next failure begins with the initial delay.

        The peer is not polled before `resume_at`.
        """
        self.delays[peer] = PeerDelay(resume_at)

    def record_failure(self, peer: str, now: float) -> None:
        """Records that a peer did not answer, and starts its next delay."""
        delay_s = min(self.max_delay_s, self._delay(peer).delay_s * MULTIPLIER)
        jitter = MIN_JITTER + (1 - MIN_JITTER) * self.random.random()
        self.delays[peer] = PeerDelay(now + delay_s * jitter, delay_s)

    def forget(self, peer: str) -> None:
        """Drops the state of a peer that is no longer polled."""
        self.delays.pop(peer, None)

    def remaining_s(self, peer: str, now: float) -> float:
        """Returns the seconds until a peer may be polled."""
        return max(0.0, self._delay(peer).until - now)

    def available(self, peers: Sequence[str], now: float) -> list[str]:
        """Returns the peers that may be polled, in order; if none may, the one whose delay ends first."""
        ready = [peer for peer in peers if not self.remaining_s(peer, now)]
        return ready or sorted(peers, key=lambda peer: self.remaining_s(peer, now))[:1]

    def _delay(self, peer: str) -> PeerDelay:
        return self.delays.get(peer, PeerDelay())
