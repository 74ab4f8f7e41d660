"""How many further attempts and hedged requests a balancer may send: a share of its RPCs."""

EARNED_PER_RPC = 0.1
MAX_BUDGET = 10.0


class RetryBudget:
    """A token bucket that RPCs fill and further attempts empty."""

    def __init__(self) -> None:
        """One token is there from the start."""
        self.tokens = 1.0

    def on_request(self) -> None:
        """An RPC has come."""
        self.tokens = min(MAX_BUDGET, self.tokens + EARNED_PER_RPC)

    @property
    def available(self) -> bool:
        """Whether one more attempt may be sent."""
        return self.tokens >= 1

    def spend(self) -> None:
        """One was sent."""
        self.tokens -= 1
