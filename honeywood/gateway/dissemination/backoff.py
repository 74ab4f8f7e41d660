"""Exponential backoff with jitter for peers that don't answer.

Pure: times and randomness come from the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

INITIAL_DELAY_S = 0.1
MULTIPLIER = 2.0  # of the delay, with each further failure
MIN_JITTER = 0.5  # the smallest part of a delay that is waited


@dataclass(frozen=True, slots=True)
class PeerDelay:
    """Until when a peer isn't polled, and how long the delay before jitter was."""

    until: float = 0.0
    delay_s: float = INITIAL_DELAY_S / MULTIPLIER


class Backoff:
    """The delays of peers by address: each failure doubles a peer's delay, up to `max_delay_s`.

    Jitter takes off up to half of each delay: not all programs then poll a peer at the moment it returns.
    """

    def __init__(self, random: Random, max_delay_s: float) -> None:
        """No peer has failed."""
        self.random = random
        self.max_delay_s = max_delay_s
        self.delays: dict[str, PeerDelay] = {}

    def record_success(self, peer: str, resume_at: float = 0.0) -> None:
        """A peer has answered: its next failure begins with the initial delay.

        It isn't polled before `resume_at`.
        """
        self.delays[peer] = PeerDelay(resume_at)

    def record_failure(self, peer: str, now: float) -> None:
        """A peer didn't answer: its next delay begins."""
        delay_s = min(self.max_delay_s, self._delay(peer).delay_s * MULTIPLIER)
        jitter = MIN_JITTER + (1 - MIN_JITTER) * self.random.random()
        self.delays[peer] = PeerDelay(now + delay_s * jitter, delay_s)

    def forget(self, peer: str) -> None:
        """Drops the state of a peer that is no longer polled."""
        self.delays.pop(peer, None)

    def remaining_s(self, peer: str, now: float) -> float:
        """Seconds for which a peer isn't polled yet."""
        return max(0.0, self._delay(peer).until - now)

    def available(self, peers: Sequence[str], now: float) -> list[str]:
        """The peers that may be polled, in their order; if none may, the one whose delay ends first."""
        ready = [peer for peer in peers if not self.remaining_s(peer, now)]
        return ready or sorted(peers, key=lambda peer: self.remaining_s(peer, now))[:1]

    def _delay(self, peer: str) -> PeerDelay:
        return self.delays.get(peer, PeerDelay())
