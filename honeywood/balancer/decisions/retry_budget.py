"""Limits retries and hedged requests to a share of the balancer's RPCs."""

EARNED_PER_RPC = 0.1  # tokens; a retry or hedged request costs one
MAX_BUDGET = 10.0  # tokens


class RetryBudget:
    """A token bucket that RPCs fill and retries and hedged requests empty."""

    def __init__(self) -> None:
        """Starts with one token."""
        self.tokens = 1.0

    def on_request(self) -> None:
        """Add the tokens that an RPC earns."""
        self.tokens = min(MAX_BUDGET, self.tokens + EARNED_PER_RPC)

    @property
    def available(self) -> bool:
        """Whether one more retry or hedged request may be sent."""
        return self.tokens >= 1

    def spend(self) -> None:
        """Take the token of a retry or hedged request."""
        self.tokens -= 1
